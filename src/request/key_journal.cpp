// Journal of keyed calls. See key_journal.h.
#include "request/key_journal.h"
#include "common/hash.h"

namespace aldervale
{

namespace
{

constexpr size_t kUuidLength = 36;

int HexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string EntryId(std::string_view scope, std::string_view key)
{
    std::string id(scope);
    id.push_back('\n');
    id.append(key);
    return id;
}

} // namespace

std::optional<int64_t> MintedAtMs(std::string_view uuid)
{
    if (uuid.size() != kUuidLength || uuid[14] != '7')
        return std::nullopt;
    int64_t ms = 0;
    for (size_t i = 0; i < kUuidLength; i++)
    {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? uuid[i] != '-' : HexDigit(uuid[i]) < 0)
            return std::nullopt;
        if (!dash && i < 13)
            ms = ms * 16 + HexDigit(uuid[i]);
    }
    if ((HexDigit(uuid[19]) & 0xC) != 0x8)
        return std::nullopt;
    return ms;
}

std::string MakeUuid7(int64_t wall_ms, uint64_t random_high, uint64_t random_low)
{
    std::array<uint8_t, 16> b{};
    for (size_t i = 0; i < 6; i++)
        b[i] = static_cast<uint8_t>(wall_ms >> (40 - 8 * i));
    for (size_t i = 0; i < 2; i++)
        b[6 + i] = static_cast<uint8_t>(random_high >> (8 - 8 * i));
    for (size_t i = 0; i < 8; i++)
        b[8 + i] = static_cast<uint8_t>(random_low >> (56 - 8 * i));
    b[6]                  = static_cast<uint8_t>((b[6] & 0x0F) | 0x70);
    b[8]                  = static_cast<uint8_t>((b[8] & 0x3F) | 0x80);
    const std::string hex = ToHex(b);
    return hex.substr(0, 8) + "-" + hex.substr(8, 4) + "-" + hex.substr(12, 4) + "-" + hex.substr(16, 4) + "-" + hex.substr(20);
}

KeyJournal::KeyJournal(const JournalConfig& cfg, int64_t started_wall_ms) : m_Config(cfg), m_HorizonMs(started_wall_ms + cfg.m_SkewMs)
{
}

KeyJournal::Shard& KeyJournal::ShardOf(const std::string& id)
{
    return m_Shards[Hash64(id) % kShards];
}

JournalAnswer KeyJournal::Begin(std::string_view scope, std::string_view key, uint64_t fingerprint, int64_t wall_ms, bool accept)
{
    const std::optional<int64_t> minted = MintedAtMs(key);
    if (!minted)
        return {JournalDecision_BadKey, nullptr};
    const std::string id    = EntryId(scope, key);
    Shard&            shard = ShardOf(id);
    std::lock_guard   lock(shard.m_Mutex);
    const auto        it = shard.m_Entries.find(id);
    if (it != shard.m_Entries.end())
    {
        if (it->second.m_Fingerprint != fingerprint)
            return {JournalDecision_Mismatch, nullptr};
        if (!it->second.m_Result)
            return {JournalDecision_Running, nullptr};
        return {JournalDecision_Replay, it->second.m_Result};
    }
    if (*minted > wall_ms + m_Config.m_SkewMs)
        return {JournalDecision_FromFuture, nullptr};
    if (*minted <= m_HorizonMs.load())
        return {JournalDecision_TooOld, nullptr};
    if (!accept)
        return {JournalDecision_Refused, nullptr};
    shard.m_Entries[id] = {fingerprint, *minted, nullptr};
    m_Entries.fetch_add(1);
    return {JournalDecision_Run, nullptr};
}

void KeyJournal::Finish(std::string_view scope, std::string_view key, StoredResult result)
{
    const std::string id    = EntryId(scope, key);
    Shard&            shard = ShardOf(id);
    std::lock_guard   lock(shard.m_Mutex);
    const auto        it = shard.m_Entries.find(id);
    if (it == shard.m_Entries.end() || it->second.m_Result)
        return;
    shard.m_Bytes += result.m_Body.size();
    it->second.m_Result = std::make_shared<const StoredResult>(std::move(result));
    shard.m_Finished.push_back(id);
    EvictLocked(shard);
}

void KeyJournal::Forget(std::string_view scope, std::string_view key)
{
    const std::string id    = EntryId(scope, key);
    Shard&            shard = ShardOf(id);
    std::lock_guard   lock(shard.m_Mutex);
    const auto        it = shard.m_Entries.find(id);
    if (it == shard.m_Entries.end() || it->second.m_Result)
        return;
    shard.m_Entries.erase(it);
    m_Entries.fetch_sub(1);
}

// Raises the horizon to the evicted key, so that a repeated call with this key is refused as "may have run" and never runs twice.
void KeyJournal::EvictLocked(Shard& s)
{
    while (!s.m_Finished.empty() && (s.m_Entries.size() > m_Config.m_MaxEntries / kShards || s.m_Bytes > m_Config.m_MaxBytes / kShards))
    {
        const auto it = s.m_Entries.find(s.m_Finished.front());
        s.m_Finished.pop_front();
        if (it == s.m_Entries.end())
            continue;
        RaiseHorizon(it->second.m_MintedMs);
        s.m_Bytes -= it->second.m_Result->m_Body.size();
        s.m_Entries.erase(it);
        m_Entries.fetch_sub(1);
    }
}

void KeyJournal::RaiseHorizon(int64_t wall_ms)
{
    int64_t current = m_HorizonMs.load();
    while (wall_ms > current && !m_HorizonMs.compare_exchange_weak(current, wall_ms))
    {
    }
}

} // namespace aldervale
