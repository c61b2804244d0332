// aldervale: memory for answers that a router holds until they are complete
//
// Pure. An answer that isn't a stream is forwarded once it is whole, so a server whose answer doesn't end would have the router keep it. Each answer
// has an upper bound, and takes its bytes of the memory that its caller's connection holds. While there is no room, answers that are still short go
// on growing to kHeldAnswerShare, and longer ones fail: servers in trouble don't take the room of the others.
//
// Load pattern: dozens of servers at once whose answers have no end, or of callers who don't read theirs, beside answers of some kB.
//
// Usage:
//   HeldAnswer answer(reply.Memory());
//   switch (answer.Append(bytes, Now())) ... // refused: the answer is given up; its memory counts until `answer` is destroyed

#pragma once
#include "connection/client_memory.h"
#include <string>
#include <string_view>

namespace aldervale
{

constexpr size_t kHeldAnswerMax   = 64 * 1024 * 1024; // bytes of one answer
constexpr size_t kHeldAnswerShare = 256 * 1024;       // bytes that each answer may have

class HeldAnswer
{
public:
    explicit HeldAnswer(MemoryShare& memory) : m_Memory(memory) {}
    HeldAnswer(const HeldAnswer&)            = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;
    ~HeldAnswer() { m_Memory.Resize(m_Memory.Bytes() - m_Counted, {}); } // less: the time doesn't count

    MemoryGrant Append(std::string_view bytes, TimePoint now) // nothing was appended unless it was taken
    {
        const size_t size = m_Body.size() + bytes.size();
        if (size > kHeldAnswerMax)
            return MemoryGrant_Refused;
        const MemoryGrant grant = m_Memory.Resize(m_Memory.Bytes() + bytes.size(), now);
        if (grant != MemoryGrant_Taken && size > kHeldAnswerShare)
            return grant;
        if (grant != MemoryGrant_Taken)
            m_Memory.Overdraw(bytes.size());
        m_Body.append(bytes);
        m_Counted += bytes.size();
        return MemoryGrant_Taken;
    }

    std::string Take() // counts on with the connection, until its answer is out
    {
        m_Counted = 0;
        return std::move(m_Body);
    }

private:
    MemoryShare& m_Memory;      // outlives this
    std::string  m_Body;        //
    size_t       m_Counted = 0; // bytes of this answer in m_Memory
};

} // namespace aldervale
