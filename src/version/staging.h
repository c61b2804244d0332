// aldervale: staging, the bounded memory that holds verified chunks
//
// Chunks are kept once per digest, so versions share what is equal (a delta costs only the chunks that differ). A version reserves its
// missing bytes before it fetches anything: what doesn't fit is refused, and nothing is evicted for it. Only verified bytes get in.
// Thread-safe; chunks live in shards, each under its own lock.
//
// Usage:
//   Status s = staging.Reserve(manifest);                 // ErrorCode_Limited when over the bound
//   bool good = staging.Put(digest, std::move(bytes));    // false: the bytes are not what the digest says
//   ChunkBytes c = staging.Get(digest);                   // null if absent
//   staging.Release(manifest);                            // frees what no other version uses

#pragma once
#include "version/manifest.h"
#include <array>
#include <map>
#include <mutex>

namespace aldervale
{

using ChunkBytes = std::shared_ptr<const std::vector<uint8_t>>;

class Staging
{
public:
    explicit Staging(uint64_t max_bytes) : m_Max(max_bytes) {}

    Status     Reserve(const Manifest& m);
    void       Release(const Manifest& m);
    bool       Put(const Digest& d, std::vector<uint8_t> bytes); // verifies; also true when it was there already
    ChunkBytes Get(const Digest& d) const;
    bool       Has(const Digest& d) const { return Get(d) != nullptr; }
    uint64_t   Reserved() const; // bytes
    uint64_t   Max() const { return m_Max; }

private:
    struct Slot
    {
        ChunkBytes m_Bytes;     // null until Put()
        unsigned   m_Users = 0; // versions that reserved it; the slot goes with the last
    };

    struct Shard
    {
        mutable std::mutex     m_Mutex; // guards m_Slots
        std::map<Digest, Slot> m_Slots;
    };

    static constexpr size_t kShards = 16;

    Shard&       ShardOf(const Digest& d) { return m_Shards[d[0] % kShards]; }
    const Shard& ShardOf(const Digest& d) const { return m_Shards[d[0] % kShards]; }

    std::array<Shard, kShards> m_Shards;       //
    uint64_t                   m_Max;          // bytes
    mutable std::mutex         m_ReserveMutex; // guards m_Reserved and serializes Reserve() and Release()
    uint64_t                   m_Reserved = 0; // bytes of all slots, filled or not; invariant: <= m_Max
};

} // namespace aldervale
