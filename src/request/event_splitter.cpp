// Splitting an event stream into events. See event_splitter.h.
#include "request/event_splitter.h"
#include <algorithm>

namespace aldervale
{

namespace
{

constexpr size_t kCompactAt = 16 * 1024; // returned bytes at the front of the buffer after which it is compacted

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

// Position after the empty line that ends the first event; npos: the event is incomplete.
size_t EventEnd(std::string_view text)
{
    const size_t plain = text.find("\n\n");
    const size_t crlf  = text.find("\n\r\n");
    if (plain == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    return plain < crlf ? plain + 2 : crlf + 3;
}

} // namespace

std::optional<StreamEvent> EventSplitter::Next()
{
    const std::string_view rest = std::string_view(m_Buf).substr(m_Head);
    const size_t           end  = EventEnd(rest);
    if (end == std::string_view::npos)
    {
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
    return e;
}

} // namespace aldervale
