// aldervale: cuts an event stream into whole events
//
// Pure. Events end with an empty line. Bytes of an event that isn't whole yet are kept until the rest arrives; what is left when the
// stream breaks is never handed on.
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
    std::string m_Id;    // value of its id field; empty: none
};

class EventSplitter
{
public:
    void                       Feed(std::string_view bytes) { m_Buf.append(bytes); }
    std::optional<StreamEvent> Next();
    size_t                     PendingBytes() const { return m_Buf.size() - m_Head; } // bytes of an event that isn't whole

private:
    std::string m_Buf;      // bytes not yet returned, from m_Head on
    size_t      m_Head = 0; // invariant: m_Head <= m_Buf.size()
};

} // namespace aldervale
