// Which boxes an agent asks for its server's model, and when. See naming_search.h.
#include "version/naming_search.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr std::string_view kHexDigits      = "0123456789abcdef";
constexpr size_t           kDecimalDigits  = 10;
constexpr size_t           kFirstKeyDigits = 4; // finer than any list of servers

} // namespace

void NamingSearch::SetBoxes(std::vector<NamingBox> boxes)
{
    std::shuffle(boxes.begin(), boxes.end(), m_Random);
    const auto asked = [this](const NamingBox& b) { return m_Asked.contains(b.m_At); };
    std::stable_sort(boxes.begin(), boxes.end(),
                     [&](const NamingBox& a, const NamingBox& b) { return std::tuple(asked(a), !a.m_Holds) < std::tuple(asked(b), !b.m_Holds); });
    m_Boxes   = std::move(boxes);
    m_NextBox = 0;
    while (m_NextBox < m_Boxes.size() && asked(m_Boxes[m_NextBox])) // only if all were asked
        m_NextBox++;
}

bool NamingSearch::WantsRows(TimePoint now) const
{
    return AllAsked() && m_Reads < kNamingReads && now >= m_NextReadAt && now >= m_NextRoundAt;
}

std::string NamingSearch::BeginRead(TimePoint now)
{
    const bool first = m_Reads++ == 0;
    m_NextReadAt     = now + kNamingReadPause;
    if (!first)
        return m_CommonPrefix + kHexDigits[m_Random() % kDecimalDigits];
    std::string key;
    while (key.size() < kFirstKeyDigits)
        key += kHexDigits[m_Random() % kHexDigits.size()];
    return key;
}

void NamingSearch::OnRows(std::span<const std::string> keys)
{
    m_CommonPrefix = keys.empty() ? std::string() : keys.front();
    for (const std::string& key : keys)
    {
        const auto differ = std::mismatch(m_CommonPrefix.begin(), m_CommonPrefix.end(), key.begin(), key.end()).first;
        m_CommonPrefix.erase(differ, m_CommonPrefix.end());
    }
}

std::vector<Endpoint> NamingSearch::Next(TimePoint now)
{
    std::vector<Endpoint> out;
    if (m_Boxes.empty() || now < m_NextRoundAt)
        return out;
    if (AllAsked())
        m_NextBox = 0;
    for (; !AllAsked() && out.size() < kNamingAskedAtOnce; m_NextBox++)
    {
        m_Asked.insert(m_Boxes[m_NextBox].m_At);
        out.push_back(m_Boxes[m_NextBox].m_At);
    }
    m_Rounds++;
    Duration pause = kNamingAnswerWait;
    for (unsigned n = kNamingQuickRounds; n < m_Rounds && pause < kNamingPauseMax; n++)
        pause *= 2;
    m_NextRoundAt = now + std::min<Duration>(pause, kNamingPauseMax);
    return out;
}

} // namespace aldervale
