// Manifests: digests, locations of chunks, slices, malformed text.
#include "support.h"
#include "version/manifest.h"

using namespace aldervale;

BOOST_AUTO_TEST_CASE(chunks_cover_every_byte_once)
{
    ALDERVALE_PROPERTY("the chunks of a random manifest cover its shards, and digests match the bytes",
                       []
                       {
                           std::vector<std::vector<uint8_t>> bytes;
                           std::vector<ManifestInput>        shards;
                           const size_t                      n = *rc::gen::inRange<size_t>(1, 5);
                           for (size_t s = 0; s < n; s++)
                               bytes.emplace_back(*rc::gen::inRange<size_t>(1, 5 * kChunkSizeMin), static_cast<uint8_t>(s));
                           for (size_t s = 0; s < n; s++)
                               shards.push_back({"s" + std::to_string(s), bytes[s]});
                           const auto m = ParseManifest(MakeManifest("m", "1", "", kChunkSizeMin, shards), "");
                           RC_ASSERT(m.has_value());
                           uint64_t covered = 0;
                           for (uint32_t c = 0; c < m.value()->m_ChunkCount; c++)
                           {
                               const ChunkLocation p = LocateChunk(*m.value(), c);
                               RC_ASSERT(Sha256(std::span(bytes[p.m_Shard]).subspan(p.m_Offset, p.m_Length)) == ChunkDigest(*m.value(), c));
                               covered += p.m_Length;
                           }
                           RC_ASSERT(covered == m.value()->m_Size);
                           const size_t count = *rc::gen::inRange<size_t>(1, n + 1);
                           uint64_t     sum   = 0;
                           for (size_t p = 0; p < count; p++)
                           {
                               const ManifestPtr slice = SliceManifest(m.value(), p, count);
                               RC_ASSERT(WholeDigest(slice->m_Digest) == m.value()->m_Digest);
                               sum += slice->m_Size;
                           }
                           RC_ASSERT(sum == m.value()->m_Size);
                       });
}

BOOST_AUTO_TEST_CASE(manifest_with_another_digest_is_refused)
{
    const std::vector<uint8_t> bytes(100, 1);
    const ManifestInput        shard{"s", bytes};
    const std::string          text = MakeManifest("m", "1", "", kChunkSizeMin, std::span(&shard, 1));
    BOOST_CHECK(ParseManifest(text, ToHex(Sha256(text))).has_value());
    BOOST_CHECK_EQUAL(ParseManifest(text + " ", ToHex(Sha256(text))).error().m_Field, "manifest.digest");
}

BOOST_AUTO_TEST_CASE(errors_of_malformed_manifests_name_the_field)
{
    const auto field = [](std::string_view text) { return ParseManifest(text, "").error().m_Field; };
    BOOST_CHECK_EQUAL(field("[]"), "manifest.");
    BOOST_CHECK_EQUAL(field(R"({"version": "1", "chunk_size": 4096, "shards": []})"), "manifest.model");
    BOOST_CHECK_EQUAL(field(R"({"model": "m", "version": "1", "chunk_size": 1, "shards": []})"), "manifest.chunk_size");
    BOOST_CHECK_EQUAL(field(R"({"model": "m", "version": "1", "chunk_size": 4096, "shards": []})"), "manifest.shards");
    BOOST_CHECK_EQUAL(field(R"({"model": "m", "version": "1", "chunk_size": 4096, "shards": [{"name": "../x", "size": 1, "chunks": []}]})"),
                      "manifest.shards.name");
    BOOST_CHECK_EQUAL(field(R"({"model": "m", "version": "1", "chunk_size": 4096, "shards": [{"name": "x", "size": 1, "chunks": []}]})"),
                      "manifest.shards.chunks");
    BOOST_CHECK_EQUAL(field(R"({"model": "m", "version": "1", "chunk_size": 4096, "shards": [{"name": "x", "size": 1, "chunks": ["zz"]}]})"),
                      "manifest.shards.chunks");
}
