// aldervale: manifests, which list the contents of a model version or adapter
//
// A manifest lists shards (files); each shard is cut into chunks of m_ChunkSize (the last may be shorter) with a SHA-256 each. The digest
// of a manifest is the SHA-256 of the exact bytes of its JSON text; declarations refer to it. Chunks are numbered over all shards in order.
// An adapter is a small set of weights that is loaded on top of a version, its base. A slice is the part of a version that one box holds
// when a replica spans several boxes.
//
// Usage:
//   Result<Manifest> m = ParseManifest(text, expected_digest);
//   ChunkLocation p = LocateChunk(m, index);                    // shard, offset, length
//
// Text form: {"model": "atlas", "version": "7", "base": "<digest>"?, "chunk_size": 262144,
//             "shards": [{"name": "shard-0", "size": 67108864, "chunks": ["<sha256>", ...]}]}

#pragma once
#include "common/hash.h"
#include "common/verdict.h"
#include <memory>
#include <vector>

namespace aldervale
{

constexpr uint64_t kChunkSizeMin = 4 * 1024;        // bytes
constexpr uint64_t kChunkSizeMax = 4 * 1024 * 1024; // bytes; half of kFrameMax
constexpr size_t   kChunksMax    = 4 * 1024 * 1024; // of one manifest

struct ManifestShard
{
    std::string         m_Name;           // file name, without '/'
    uint64_t            m_Size = 0;       // bytes; at least 1
    std::vector<Digest> m_Chunks;         // invariant: m_Chunks.size() == ceil(m_Size / chunk size)
    uint32_t            m_FirstChunk = 0; // number of its first chunk
};

struct Manifest
{
    std::string                m_Digest;         // hex SHA-256 of m_Text
    std::string                m_Text;           // JSON
    std::string                m_Model;          //
    std::string                m_Version;        //
    std::string                m_Base;           // adapters: digest of the base's manifest; empty for versions
    uint64_t                   m_ChunkSize = 0;  // bytes
    std::vector<ManifestShard> m_Shards;         // at least one
    uint32_t                   m_ChunkCount = 0; // over all shards
    uint64_t                   m_Size       = 0; // bytes over all shards
};
using ManifestPtr = std::shared_ptr<const Manifest>;

struct ChunkLocation
{
    uint32_t m_Shard  = 0; // index into m_Shards
    uint64_t m_Offset = 0; // bytes into the shard
    uint64_t m_Length = 0; // bytes
};

Result<ManifestPtr> ParseManifest(std::string_view text, std::string_view expected_digest); // expected "": any digest is accepted
ChunkLocation       LocateChunk(const Manifest& m, uint32_t chunk);                         // asserts chunk < m_ChunkCount
const Digest&       ChunkDigest(const Manifest& m, uint32_t chunk);

// The slice that box `position` of a replica of `count` boxes holds: every count-th shard from `position`, its chunks numbered anew. Its
// m_Digest has the suffix "~position-count"; slice 0 of 1 is the manifest itself.
ManifestPtr      SliceManifest(const ManifestPtr& m, size_t position, size_t count);
std::string      SliceDigest(std::string_view digest, size_t position, size_t count);
std::string_view WholeDigest(std::string_view slice); // digest of the whole manifest: without the suffix

struct ManifestInput // one shard's bytes, for MakeManifest()
{
    std::string              m_Name;  //
    std::span<const uint8_t> m_Bytes; //
};

std::string MakeManifest(std::string_view model, std::string_view version, std::string_view base, uint64_t chunk_size,
                         std::span<const ManifestInput> shards);

} // namespace aldervale
