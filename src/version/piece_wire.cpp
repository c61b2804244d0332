// Version names and lists of digests in messages between boxes. See piece_transfer_internal.h.
#include "version/piece_transfer_internal.h"
#include <boost/json.hpp>
#include <charconv>

namespace aldervale
{

std::string VersionName(std::string_view model, uint64_t version)
{
    return std::string(model) + "/" + std::to_string(version);
}

std::optional<uint64_t> VersionOf(const flatbuffers::String* name, std::string_view model)
{
    if (name == nullptr)
        return std::nullopt;
    const std::string_view text = name->string_view();
    if (!text.starts_with(model) || text.size() <= model.size() + 1 || text[model.size()] != '/')
        return std::nullopt;
    const std::string_view number = text.substr(model.size() + 1);
    uint64_t               v      = 0;
    const auto [end, e]           = std::from_chars(number.data(), number.data() + number.size(), v);
    return e == std::errc() && end == number.data() + number.size() ? std::optional<uint64_t>(v) : std::nullopt;
}

bool UsableList(const PieceList& list)
{
    Digest d{};
    return !list.m_Digests.empty() && list.m_PieceBytes > 0 &&
           std::all_of(list.m_Digests.begin(), list.m_Digests.end(), [&](const std::string& hex) { return FromHex(hex, d); });
}

std::string ListToJson(const PieceList& list)
{
    boost::json::object o;
    o["version"]     = list.m_Version;
    o["piece_bytes"] = list.m_PieceBytes;
    o["digests"]     = boost::json::value_from(list.m_Digests);
    return boost::json::serialize(o);
}

std::optional<PieceList> ListFromJson(std::string_view text)
{
    boost::json::error_code  ec;
    const boost::json::value v = boost::json::parse(text, ec);
    if (ec || !v.is_object())
        return std::nullopt;
    const auto* version = v.get_object().if_contains("version");
    const auto* bytes   = v.get_object().if_contains("piece_bytes");
    const auto* digests = v.get_object().if_contains("digests");
    if (version == nullptr || bytes == nullptr || digests == nullptr || !digests->is_array())
        return std::nullopt;
    PieceList               out;
    boost::json::error_code no_version;
    boost::json::error_code no_bytes;
    out.m_Version    = version->to_number<uint64_t>(no_version); // out of range or not a number: sets the error code instead of throwing
    out.m_PieceBytes = bytes->to_number<uint32_t>(no_bytes);
    if (no_version || no_bytes)
        return std::nullopt;
    for (const auto& d : digests->get_array())
        if (d.is_string())
            out.m_Digests.emplace_back(d.get_string());
    return out;
}

} // namespace aldervale
