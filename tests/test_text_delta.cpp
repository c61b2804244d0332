// Texts compressed alone and as differences: round trips, refusal of what was spoilt, and the size of a change in long declarations.
#include "common/clock.h"
#include "common/hash.h"
#include "connection/text_delta.h"
#include "support.h"
#include <optional>

using namespace aldervale;

namespace
{

constexpr size_t kRoutes       = 4200;
constexpr size_t kDeclaredMin  = 1'050'000; // bytes of these routes as text
constexpr size_t kDeclaredMax  = 1'250'000; //
constexpr size_t kChangeMax    = 4 * 1024;  // bytes of a difference of one route
constexpr int    kCallsTimed   = 5;
constexpr size_t kBytesSpoiltN = 400; // places tried in one difference

std::string DeclaredRoute(size_t i, std::string_view service)
{
    Random            rng(i);
    const std::string n = std::to_string(i);
    std::string       out;
    out.append(R"({"name": "route-)").append(n);
    out.append(R"(", "host": "tenant-)").append(std::to_string(rng() % 900)).append(".models.example.net");
    out.append(R"(", "path": "/v1/)").append(std::to_string(rng() % 100'000)).append("/completions");
    out.append(R"(", "methods": ["GET", "POST"], "service": ")").append(service);
    out.append(R"(", "limits": {"rps": )").append(std::to_string(rng() % 5000)).append(R"(, "concurrent": )").append(std::to_string(rng() % 300));
    out.append(R"(, "body_max": )").append(std::to_string(rng() % 1'000'000)).append(R"(}, "timeout_ms": )").append(std::to_string(rng() % 60'000));
    out.append(R"(, "retry": "repeatable", "key": ")").append(std::to_string(rng())).append("\"},\n");
    return out;
}

std::string Declared(std::optional<size_t> changed = std::nullopt)
{
    std::string out = "{\"routes\": [\n";
    for (size_t i = 0; i < kRoutes; i++)
        out += DeclaredRoute(i, changed == i ? "moved-to-another-service" : "service-" + std::to_string(i % 37));
    return out + "]}\n";
}

// Text with repetitions as real ones have them, or without any.
rc::Gen<std::string> AnyText()
{
    const auto words =
        rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(std::vector<std::string>{"route ", "host ", "a", "42 ", "\n"}));
    const auto joined = rc::gen::map(words,
                                     [](const std::vector<std::string>& all)
                                     {
                                         std::string out;
                                         for (const std::string& w : all)
                                             out += w;
                                         return out;
                                     });
    return rc::gen::oneOf(joined, rc::gen::arbitrary<std::string>());
}

std::string Edited(std::string text, size_t at, std::string_view put)
{
    text.insert(at % (text.size() + 1), put);
    return text;
}

// What was spoilt may still lead to the same text, where the spoilt part didn't matter; never to another one.
bool RefusedOrSame(const Result<std::string>& got, std::string_view text)
{
    return !got || got.value() == text;
}

} // namespace

BOOST_AUTO_TEST_CASE(texts_come_back_alone_and_against_a_base)
{
    ALDERVALE_PROPERTY("a text comes back as it was, with any base or none",
                       []
                       {
                           const std::string text  = *AnyText();
                           const std::string base  = *AnyText();
                           const auto        alone = ExpandText(CompressText(text, {}), {}, text.size());
                           RC_ASSERT(alone.has_value());
                           RC_ASSERT(alone.value() == text);
                           const auto against = ExpandText(CompressText(text, base), base, text.size());
                           RC_ASSERT(against.has_value());
                           RC_ASSERT(against.value() == text);
                       });
    ALDERVALE_PROPERTY("an edited text comes back against its predecessor, and so does the predecessor against it",
                       []
                       {
                           const std::string base = *AnyText();
                           const std::string text = Edited(base, *rc::gen::arbitrary<uint16_t>(), *AnyText());
                           RC_ASSERT(ExpandText(CompressText(text, base), base, text.size()).value() == text);
                           RC_ASSERT(ExpandText(CompressText(base, text), text, base.size()).value() == base);
                       });
}

BOOST_AUTO_TEST_CASE(equal_texts_and_bases_make_equal_bytes)
{
    const std::string before = Declared();
    const std::string after  = Declared(17);
    BOOST_TEST((CompressText(after, before) == CompressText(after, before)));
    BOOST_TEST((CompressText(after, {}) == CompressText(after, {})));
}

BOOST_AUTO_TEST_CASE(another_base_never_leads_to_another_text)
{
    ALDERVALE_PROPERTY("bytes expanded against another base are refused or lead to the same text",
                       []
                       {
                           const std::string base  = *AnyText();
                           const std::string text  = Edited(base, *rc::gen::arbitrary<uint16_t>(), *AnyText());
                           const std::string other = Edited(base, *rc::gen::arbitrary<uint16_t>(), *AnyText());
                           const std::string bytes = CompressText(text, base);
                           RC_ASSERT(RefusedOrSame(ExpandText(bytes, other, text.size()), text));
                           RC_ASSERT(RefusedOrSame(ExpandText(bytes, {}, text.size()), text));
                       });
    const std::string before = Declared();
    const std::string after  = Declared(17);
    const std::string bytes  = CompressText(after, before);
    BOOST_TEST(!ExpandText(bytes, {}, after.size()));
    BOOST_TEST(!ExpandText(bytes, Declared(4000), after.size()));
    BOOST_TEST(!ExpandText(bytes, std::string_view(before).substr(1), after.size()));
    BOOST_TEST(!ExpandText(bytes, std::string_view(before).substr(0, before.size() - 1), after.size()));
}

BOOST_AUTO_TEST_CASE(another_length_is_refused)
{
    ALDERVALE_PROPERTY("exactly the told length is expanded, with and without a base",
                       []
                       {
                           const std::string text  = *rc::gen::nonEmpty(AnyText());
                           const std::string base  = *AnyText();
                           const size_t      wrong = *rc::gen::distinctFrom(rc::gen::inRange<size_t>(0, 2 * text.size() + 2), text.size());
                           RC_ASSERT(!ExpandText(CompressText(text, base), base, wrong));
                       });
    BOOST_TEST(!ExpandText(CompressText("x", {}), {}, kExpandedMax + 1));
    BOOST_TEST(!ExpandText(CompressText("x", {}), {}, SIZE_MAX));
}

BOOST_AUTO_TEST_CASE(cut_bytes_are_refused)
{
    ALDERVALE_PROPERTY("no beginning of the bytes is taken for a text",
                       []
                       {
                           const std::string text  = *rc::gen::nonEmpty(AnyText());
                           const std::string base  = *AnyText();
                           const std::string bytes = CompressText(text, base);
                           for (size_t n = 0; n < bytes.size(); n++)
                               RC_ASSERT(!ExpandText(std::string_view(bytes).substr(0, n), base, text.size()));
                       });
    const std::string before = Declared();
    const std::string after  = Declared(17);
    const std::string bytes  = CompressText(after, before);
    BOOST_TEST(!ExpandText(bytes + "x", before, after.size()));
    BOOST_TEST(!ExpandText(bytes + bytes, before, after.size()));
    for (size_t n = 0; n < bytes.size(); n += 1 + bytes.size() / kBytesSpoiltN)
        BOOST_TEST(!ExpandText(std::string_view(bytes).substr(0, n), before, after.size()));
}

BOOST_AUTO_TEST_CASE(spoilt_bytes_never_lead_to_another_text)
{
    ALDERVALE_PROPERTY("bytes with one spoilt are refused or lead to the same text",
                       []
                       {
                           const std::string text  = *AnyText();
                           const std::string base  = *AnyText();
                           std::string       bytes = CompressText(text, base);
                           const size_t      at    = *rc::gen::inRange<size_t>(0, bytes.size());
                           bytes[at]               = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
                           RC_ASSERT(RefusedOrSame(ExpandText(bytes, base, text.size()), text));
                       });
    ALDERVALE_PROPERTY("bytes that nobody made are refused",
                       []
                       {
                           const std::string bytes = *rc::gen::nonEmpty<std::string>();
                           RC_ASSERT(!ExpandText(bytes, "route host 42", *rc::gen::inRange<size_t>(1, 1000)));
                       });
    const std::string before = Declared();
    const std::string after  = Declared(17);
    const std::string bytes  = CompressText(after, before);
    for (size_t at = 0; at < bytes.size(); at += 1 + bytes.size() / kBytesSpoiltN)
    {
        std::string spoilt = bytes;
        spoilt[at]         = static_cast<char>(spoilt[at] ^ 0x55);
        BOOST_TEST(RefusedOrSame(ExpandText(spoilt, before, after.size()), after));
    }
}

// Of 4,200 routes, which are 1.1 MB, mostly one is changed at a time.
BOOST_AUTO_TEST_CASE(one_route_of_thousands_costs_less_than_4_kb)
{
    const std::string before = Declared();
    BOOST_TEST(before.size() > kDeclaredMin);
    BOOST_TEST(before.size() < kDeclaredMax);
    const auto timed = [](const auto& fn)
    {
        Duration least = Duration::max();
        for (int i = 0; i < kCallsTimed; i++)
        {
            const TimePoint from = Now();
            fn();
            least = std::min(least, Duration(Now() - from));
        }
        return ToSeconds(least) * 1000;
    };
    for (const size_t changed : {size_t{0}, size_t{17}, kRoutes / 2, kRoutes - 1})
    {
        const std::string after = Declared(changed);
        const std::string bytes = CompressText(after, before);
        const std::string alone = CompressText(after, {});
        BOOST_TEST(bytes.size() < kChangeMax);
        BOOST_TEST(alone.size() < after.size() / 3);
        BOOST_TEST((ExpandText(bytes, before, after.size()).value() == after));
        BOOST_TEST((ExpandText(alone, {}, after.size()).value() == after));
        std::cout << "route " << changed << ": text " << after.size() << " bytes, difference " << bytes.size() << ", alone " << alone.size()
                  << "; ms: difference " << timed([&] { CompressText(after, before); }) << ", alone " << timed([&] { CompressText(after, {}); })
                  << ", expanded " << timed([&] { BOOST_REQUIRE(ExpandText(bytes, before, after.size())); }) << " and "
                  << timed([&] { BOOST_REQUIRE(ExpandText(alone, {}, after.size())); }) << "\n";
    }
    const std::string grown = before + DeclaredRoute(kRoutes, "new");
    BOOST_TEST(CompressText(grown, before).size() < kChangeMax);
    BOOST_TEST(CompressText(before, grown).size() < kChangeMax);
    const std::string same = before + ""; // elsewhere in memory
    BOOST_TEST(CompressText(same, before).size() < kChangeMax);
    BOOST_TEST((ExpandText(CompressText(before, before), before, before.size()).value() == before)); // the same memory: right, though not short
}
