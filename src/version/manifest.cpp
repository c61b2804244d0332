// Manifests. See manifest.h.
#include "version/manifest.h"
#include <boost/assert.hpp>
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

namespace
{

Error FieldError(std::string_view field, std::string_view message)
{
    return MakeError(ErrorCode_Corrupt, message, "manifest." + std::string(field));
}

Result<std::string> ReadText(const json::object& o, std::string_view key, bool required)
{
    const json::value* v = o.if_contains(key);
    if (v == nullptr && !required)
        return std::string();
    if (v == nullptr || !v->is_string())
        return FieldError(key, "expected a string");
    return std::string(v->as_string());
}

Result<uint64_t> ReadCount(const json::object& o, std::string_view key, uint64_t min, uint64_t max)
{
    const json::value* v = o.if_contains(key);
    if (v == nullptr || !v->is_int64() || v->as_int64() < 0)
        return FieldError(key, "expected a non-negative integer");
    const uint64_t n = static_cast<uint64_t>(v->as_int64());
    if (n < min || n > max)
        return FieldError(key, "out of range");
    return n;
}

Result<ManifestShard> ReadShard(const json::value& v, const Manifest& m)
{
    if (!v.is_object())
        return FieldError("shards", "expected an array of objects");
    ManifestShard shard;
    auto          name = ReadText(v.as_object(), "name", true);
    auto          size = ReadCount(v.as_object(), "size", 1, kChunksMax * kChunkSizeMax);
    if (!name)
        return name.error();
    if (!size)
        return size.error();
    if (name.value().empty() || name.value().find('/') != std::string::npos || name.value()[0] == '.')
        return FieldError("shards.name", "expected a file name without a path");
    shard.m_Name              = name.value();
    shard.m_Size              = size.value();
    shard.m_FirstChunk        = m.m_ChunkCount;
    const json::value* chunks = v.as_object().if_contains("chunks");
    if (chunks == nullptr || !chunks->is_array())
        return FieldError("shards.chunks", "expected an array of digests");
    const uint64_t chunk_count = (shard.m_Size + m.m_ChunkSize - 1) / m.m_ChunkSize;
    if (chunks->as_array().size() != chunk_count || chunk_count + m.m_ChunkCount > kChunksMax)
        return FieldError("shards.chunks", "number of chunks doesn't match the size, or is too large");
    for (const json::value& c : chunks->as_array())
    {
        Digest d{};
        if (!c.is_string() || !FromHex(std::string_view(c.as_string()), d))
            return FieldError("shards.chunks", "expected SHA-256 digests in hex");
        shard.m_Chunks.push_back(d);
    }
    return shard;
}

} // namespace

Result<ManifestPtr> ParseManifest(std::string_view text, std::string_view expected_digest)
{
    auto m      = std::make_shared<Manifest>();
    m->m_Text   = std::string(text);
    m->m_Digest = ToHex(Sha256(text));
    if (!expected_digest.empty() && m->m_Digest != expected_digest)
        return FieldError("digest", "bytes don't match the declared digest");
    json::error_code  ec;
    const json::value v = json::parse(text, ec);
    if (ec || !v.is_object())
        return FieldError("", "expected a JSON object");
    const json::object& o       = v.as_object();
    auto                model   = ReadText(o, "model", true);
    auto                version = ReadText(o, "version", true);
    auto                base    = ReadText(o, "base", false);
    auto                size    = ReadCount(o, "chunk_size", kChunkSizeMin, kChunkSizeMax);
    if (!model)
        return model.error();
    if (!version)
        return version.error();
    if (!base)
        return base.error();
    if (!size)
        return size.error();
    m->m_Model     = model.value();
    m->m_Version   = version.value();
    m->m_Base      = base.value();
    m->m_ChunkSize = size.value();

    const json::value* shards = o.if_contains("shards");
    if (shards == nullptr || !shards->is_array() || shards->as_array().empty())
        return FieldError("shards", "expected an array of at least one shard");
    for (const json::value& item : shards->as_array())
    {
        auto shard = ReadShard(item, *m);
        if (!shard)
            return shard.error();
        m->m_ChunkCount += static_cast<uint32_t>(shard.value().m_Chunks.size());
        m->m_Size += shard.value().m_Size;
        m->m_Shards.push_back(std::move(shard.value()));
    }
    return ManifestPtr(std::move(m));
}

ChunkLocation LocateChunk(const Manifest& m, uint32_t chunk)
{
    BOOST_ASSERT_MSG(chunk < m.m_ChunkCount, "chunk number out of range");
    uint32_t shard = 0;
    while (shard + 1 < m.m_Shards.size() && m.m_Shards[shard + 1].m_FirstChunk <= chunk)
        shard++;
    const ManifestShard& s = m.m_Shards[shard];
    ChunkLocation        p{shard, (chunk - s.m_FirstChunk) * m.m_ChunkSize, 0};
    p.m_Length = std::min(m.m_ChunkSize, s.m_Size - p.m_Offset);
    return p;
}

const Digest& ChunkDigest(const Manifest& m, uint32_t chunk)
{
    const ManifestShard& s = m.m_Shards[LocateChunk(m, chunk).m_Shard];
    return s.m_Chunks[chunk - s.m_FirstChunk];
}

std::string SliceDigest(std::string_view digest, size_t position, size_t count)
{
    return count <= 1 ? std::string(digest) : std::string(digest) + "~" + std::to_string(position) + "-" + std::to_string(count);
}

std::string_view WholeDigest(std::string_view slice)
{
    return slice.substr(0, slice.find('~'));
}

ManifestPtr SliceManifest(const ManifestPtr& m, size_t position, size_t count)
{
    BOOST_ASSERT_MSG(position < count, "slice position out of range");
    if (count == 1)
        return m;
    auto slice          = std::make_shared<Manifest>(*m);
    slice->m_Digest     = SliceDigest(m->m_Digest, position, count);
    slice->m_ChunkCount = 0;
    slice->m_Size       = 0;
    slice->m_Shards.clear();
    for (size_t i = position; i < m->m_Shards.size(); i += count)
    {
        ManifestShard shard = m->m_Shards[i];
        shard.m_FirstChunk  = slice->m_ChunkCount;
        slice->m_ChunkCount += static_cast<uint32_t>(shard.m_Chunks.size());
        slice->m_Size += shard.m_Size;
        slice->m_Shards.push_back(std::move(shard));
    }
    return slice;
}

std::string MakeManifest(std::string_view model, std::string_view version, std::string_view base, uint64_t chunk_size,
                         std::span<const ManifestInput> shards)
{
    json::array list;
    for (const ManifestInput& in : shards)
    {
        json::array chunks;
        for (uint64_t at = 0; at < in.m_Bytes.size(); at += chunk_size)
            chunks.push_back(json::string(ToHex(Sha256(in.m_Bytes.subspan(at, std::min<uint64_t>(chunk_size, in.m_Bytes.size() - at))))));
        list.push_back(json::object{{"name", in.m_Name}, {"size", in.m_Bytes.size()}, {"chunks", chunks}});
    }
    json::object o{{"model", model}, {"version", version}, {"chunk_size", chunk_size}, {"shards", list}};
    if (!base.empty())
        o["base"] = base;
    return json::serialize(o);
}

} // namespace aldervale
