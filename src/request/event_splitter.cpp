// Splitting an event stream into events. See event_splitter.h.
#include "request/event_splitter.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr size_t kEndMarkMax = 3;         // bytes of the longest mark that ends an event
constexpr size_t kCompactAt  = 16 * 1024; // returned bytes at the front of the buffer after which it is compacted

// Value of the first field of that name; empty: none.
std::string_view FieldValue(std::string_view event, std::string_view name)
{
    while (!event.empty())
    {
        const size_t     end  = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
            continue;
        line.remove_prefix(name.size() + 1);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }
    return {};
}

// Position after the empty line that ends the first event; npos: the event is incomplete. No such line begins before `from`.
size_t EventEnd(std::string_view text, size_t from)
{
    for (size_t line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1))
    {
        const std::string_view next = text.substr(line + 1);
        if (next.starts_with('\n'))
            return line + 2;
        if (next.starts_with("\r\n"))
            return line + 3;
    }
    return std::string_view::npos;
}

} // namespace

std::optional<StreamEvent> EventSplitter::Next()
{
    const std::string_view rest = std::string_view(m_Buf).substr(m_Head);
    const size_t           end  = EventEnd(rest, m_Searched);
    if (end == std::string_view::npos)
    {
        m_Searched = rest.size() - std::min(rest.size(), kEndMarkMax - 1);
        if (m_Head > kCompactAt || m_Head == m_Buf.size())
        {
            m_Buf.erase(0, m_Head);
            m_Head = 0;
        }
        return std::nullopt;
    }
    StreamEvent e;
    e.m_Bytes = std::string(rest.substr(0, end));
    e.m_Id    = std::string(FieldValue(e.m_Bytes, "id"));
    m_Head += end;
    m_Searched = 0;
    return e;
}

} // namespace aldervale
