// Early bytes of answers: whatever was sent of them, the answer that follows is the same to its reader.
#include "connection/early_bytes.h"
#include "support.h"
#include <boost/beast/http.hpp>

using namespace aldervale;
namespace http = boost::beast::http;

namespace
{

void SendEarly(EarlyBytes& early, std::string& out, int count)
{
    for (int i = 0; i < count; i++)
    {
        const std::optional<char> byte = early.Next();
        if (!byte)
            return;
        out += *byte;
        early.OnSent();
    }
}

std::string SizeLine(size_t size)
{
    char text[24];
    std::snprintf(text, sizeof text, "%zx\r\n", size);
    return text;
}

} // namespace

// Guards against answers that early bytes spoil, whenever and however many of them were sent.
BOOST_AUTO_TEST_CASE(an_answer_after_any_early_bytes_reads_the_same)
{
    const bool ok = rc::check(
        [](const std::vector<uint8_t>& counts, bool chunked)
        {
            const std::string body  = "a longer body than one chunk";
            const auto        count = [&](size_t i) { return i < counts.size() ? counts[i] % 20 : 0; };
            EarlyBytes        early;
            std::string       out;
            SendEarly(early, out, count(0));
            const std::string head =
                std::string("HTTP/1.1 201 Created\r\n") + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: 28") + "\r\n\r\n";
            out += head.substr(early.HeadBytes());
            early.OnHead(chunked);
            SendEarly(early, out, count(1));
            for (size_t at = 0; chunked && at < body.size(); at += 7)
            {
                const std::string part = body.substr(at, 7);
                early.OnChunk();
                out += SizeLine(part.size()) + part + "\r\n";
                SendEarly(early, out, count(2 + at / 7));
            }
            early.OnEnd();
            out += chunked ? "0\r\n\r\n" : body;
            SendEarly(early, out, 20);

            http::response_parser<http::string_body> parser;
            parser.eager(true);
            boost::system::error_code ec;
            const size_t              used = parser.put(boost::asio::buffer(out), ec);
            const bool                read = !ec && parser.is_done() && used == out.size();
            RC_ASSERT(read);
            RC_ASSERT(parser.get().result_int() == 201u);
            RC_ASSERT(parser.get().body() == body);
        });
    BOOST_TEST(ok);
}
