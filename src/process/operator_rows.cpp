// The operators' table as held. See operator_rows.h.
#include "process/operator_rows.h"
#include <algorithm>
#include <cstring>
#include <set>

namespace aldervale
{

namespace
{

// Text of rows: the version and the number of rows, then for each row by key its version and the lengths of key and value (64 bits,
// little-endian), key, value. The number tells a whole text from one that was cut between two rows.
void PutNumber(std::string& out, uint64_t n)
{
    for (int shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>(n >> shift & 0xff));
}

struct TextReader
{
    std::string_view m_Left;        //
    bool             m_Bad = false; // it ended too soon

    uint64_t Number()
    {
        const std::string_view bytes = Bytes(8);
        uint64_t               n     = 0;
        for (size_t i = 0; i < bytes.size(); i++)
            n |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return n;
    }

    std::string_view Bytes(uint64_t count)
    {
        m_Bad = m_Bad || count > m_Left.size();
        if (m_Bad)
            return {};
        const std::string_view out = m_Left.substr(0, count);
        m_Left.remove_prefix(count);
        return out;
    }
};

uint64_t NewestOf(const RowRead& read)
{
    uint64_t newest = 0;
    for (const Row& row : read.m_Rows)
        newest = std::max(newest, row.m_Version);
    return newest;
}

} // namespace

bool OperatorRows::LacksRow(const RowRead& whole) const
{
    std::set<std::string_view> keys;
    for (const Row& row : whole.m_Rows)
        keys.insert(row.m_Key);
    return std::any_of(m_Rows.begin(), m_Rows.end(), [&](const auto& item) { return !keys.contains(item.first); });
}

// A long table is read in pages, each as of its own moment. What changed after the first one is told by the changes since then, which must
// count as newer, though some of their rows may have come already.
bool OperatorRows::TakeAll(const RowRead& read)
{
    uint64_t newest = std::min(NewestOf(read), read.m_StoreVersion);
    if (newest <= m_Version && read.m_StoreVersion > m_Version && LacksRow(read))
        newest = read.m_StoreVersion; // the version that dropped the row isn't told, and others must see that these rows are newer
    if (newest <= m_Version)
        return false;
    m_Rows.clear();
    for (const Row& row : read.m_Rows)
        m_Rows[row.m_Key] = row;
    m_Version = newest;
    return true;
}

bool OperatorRows::TakeChanges(const RowRead& read)
{
    const uint64_t newest = NewestOf(read);
    if (newest <= m_Version)
        return false;
    for (const Row& row : read.m_Rows)
    {
        const auto it = m_Rows.find(row.m_Key);
        if (it != m_Rows.end() && it->second.m_Version > row.m_Version)
            continue;
        if (row.m_Gone)
            m_Rows.erase(row.m_Key);
        else
            m_Rows[row.m_Key] = row;
    }
    m_Version = newest;
    return true;
}

bool OperatorRows::TakeCopy(const OperatorRows& copy)
{
    if (copy.m_Version <= m_Version)
        return false;
    *this = copy;
    return true;
}

const Row* OperatorRows::Find(std::string_view key) const
{
    const auto it = m_Rows.find(key);
    return it == m_Rows.end() ? nullptr : &it->second;
}

RowRead OperatorRows::Read() const
{
    RowRead out;
    out.m_StoreVersion = m_Version;
    for (const auto& [key, row] : m_Rows)
        out.m_Rows.push_back(row);
    return out;
}

std::string OperatorRows::Encode() const
{
    std::string out;
    PutNumber(out, m_Version);
    PutNumber(out, m_Rows.size());
    for (const auto& [key, row] : m_Rows)
    {
        PutNumber(out, row.m_Version);
        PutNumber(out, key.size());
        PutNumber(out, row.m_Value.size());
        out.append(key).append(row.m_Value);
    }
    return out;
}

Result<OperatorRows> OperatorRows::Decode(std::string_view text)
{
    OperatorRows out;
    TextReader   r{text};
    out.m_Version       = r.Number();
    const uint64_t rows = r.Number();
    for (uint64_t i = 0; i < rows && !r.m_Bad; i++)
    {
        Row row;
        row.m_Version        = r.Number();
        const uint64_t key   = r.Number();
        const uint64_t value = r.Number();
        row.m_Key            = r.Bytes(key);
        row.m_Value          = r.Bytes(value);
        const bool rises     = out.m_Rows.empty() || out.m_Rows.rbegin()->first < row.m_Key;
        if (!r.m_Bad && !rises)
            return MakeError(ErrorCode_Invalid, "keys of rows don't rise");
        out.m_Rows[row.m_Key] = std::move(row);
    }
    if (r.m_Bad)
        return MakeError(ErrorCode_Invalid, "rows end too soon");
    if (!r.m_Left.empty())
        return MakeError(ErrorCode_Invalid, "more than the told rows");
    return out;
}

} // namespace aldervale
