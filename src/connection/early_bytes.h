// aldervale: bytes of an HTTP/1.1 answer that can be sent before its content is known
//
// The end of a caller's sending side looks the same whether the caller closed its connection or still reads. Only sent bytes tell the two apart: the
// system of a caller that closed answers them with a reset. Two kinds of bytes commit an answer to nothing: the beginning of the status line, which
// is the same for every final status, and zeros before the size of the next chunk.
//
// Usage:
//   EarlyBytes bytes;
//   if (const std::optional<char> byte = bytes.Next(); byte && Sent(*byte)) bytes.OnSent();
//   ... write the head of the answer without its first bytes.HeadBytes() bytes ...
//   bytes.OnHead(true);  // the answer is chunked
//   bytes.OnChunk();     // for each chunk that is written
//   bytes.OnEnd();       // before the last bytes of the answer

#pragma once
#include <cstddef>
#include <optional>
#include <string_view>

namespace aldervale
{

class EarlyBytes
{
public:
    static constexpr std::string_view kStatusStart  = "HTTP/1.1 ";
    static constexpr size_t           kSizeZerosMax = 8; // before one chunk's size; parsers accept 16 digits in all

    std::optional<char> Next() const; // none: no further byte can be sent now
    void                OnSent() { m_Sent++; }
    void                OnHead(bool chunked);
    void                OnChunk() { m_Sent = 0; }
    void                OnEnd() { m_Phase = Phase_Whole; }
    size_t              HeadBytes() const { return m_Phase == Phase_Head ? m_Sent : 0; } // sent of the status line

private:
    enum Phase
    {
        Phase_Head,   // the head was not written
        Phase_Chunks, // the next thing to be written is a chunk
        Phase_Whole,  // nothing may be added
    };

    Phase  m_Phase = Phase_Head; // only advances
    size_t m_Sent  = 0;          // at most kStatusStart.size() in Phase_Head, kSizeZerosMax in Phase_Chunks
};

} // namespace aldervale
