// aldervale: memory for answers that a router holds until they are complete
//
// Pure. An answer that isn't a stream is forwarded once it is whole, so a server whose answer doesn't end would have the router keep it. Each answer
// has an upper bound, and so have all together. While the sum is reached, answers that are still short go on growing to kHeldAnswerShare, and longer
// ones fail: servers in trouble don't take the room of the others.
//
// Load pattern: dozens of servers at once whose answers have no end, beside answers of some kB.
//
// Usage:
//   HeldAnswer answer(all);
//   if (!answer.Append(bytes)) ...the answer is given up; its memory counts until `answer` is destroyed

#pragma once
#include <string>
#include <string_view>

namespace aldervale
{

constexpr size_t kHeldAnswerMax   = 64 * 1024 * 1024; // bytes of one answer
constexpr size_t kHeldAnswersMax  = 64 * 1024 * 1024; // bytes of all answers, beyond which none grows over kHeldAnswerShare
constexpr size_t kHeldAnswerShare = 256 * 1024;       // bytes that each answer may have

struct HeldAnswers
{
    size_t m_Bytes = 0; // of all answers held
};

class HeldAnswer
{
public:
    explicit HeldAnswer(HeldAnswers& all) : m_All(all) {}
    HeldAnswer(const HeldAnswer&)            = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;
    ~HeldAnswer() { m_All.m_Bytes -= m_Counted; }

    bool Append(std::string_view bytes) // false: too long, nothing was appended
    {
        const size_t size = m_Body.size() + bytes.size();
        if (size > kHeldAnswerMax || (size > kHeldAnswerShare && m_All.m_Bytes + bytes.size() > kHeldAnswersMax))
            return false;
        m_Body.append(bytes);
        m_Counted += bytes.size();
        m_All.m_Bytes += bytes.size();
        return true;
    }

    std::string Take() { return std::move(m_Body); } // counts on

private:
    HeldAnswers& m_All;         // outlives this
    std::string  m_Body;        //
    size_t       m_Counted = 0; // bytes of this answer in m_All
};

} // namespace aldervale
