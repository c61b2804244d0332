// aldervale: splits a server-sent event stream into whole events
//
// Pure: no I/O. Events end with an empty line. The bytes of an incomplete event are buffered until the rest arrives; if the stream breaks before,
// they are never returned. Bytes that were searched for the end of an event aren't searched again.
//
// Usage:
//   EventSplitter s;
//   s.Feed(bytes);
//   while (std::optional<StreamEvent> e = s.Next()) ...

#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace aldervale
{

struct StreamEvent
{
    std::string m_Bytes; // as received, with the empty line that ends it
    std::string m_Id;    // value of the id field; empty: none
};

class EventSplitter
{
public:
    void                       Feed(std::string_view bytes) { m_Buf.append(bytes); }
    std::optional<StreamEvent> Next();
    size_t                     PendingBytes() const { return m_Buf.size() - m_Head; } // buffered bytes of an incomplete event

private:
    std::string m_Buf;          // bytes not yet returned, from m_Head on
    size_t      m_Head     = 0; // invariant: m_Head <= m_Buf.size()
    size_t      m_Searched = 0; // no event ends within so many bytes from m_Head on
};

} // namespace aldervale
