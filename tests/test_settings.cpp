// Settings files: one fault per wrong line, nothing written unless all is good. The event catalogue against its page.
#include "common/events.h"
#include "process/settings.h"
#include "support.h"
#include <boost/json.hpp>
#include <fstream>
#include <sstream>

using namespace aldervale;

namespace
{

struct Sample
{
    int64_t                  m_Threads = 2;
    double                   m_Rate    = 1;
    std::string              m_Level   = "info";
    std::string              m_A;
    std::string              m_B;
    std::vector<std::string> m_Peers;
};

std::vector<SettingSpec> Describe(Sample& s)
{
    return {
        {"threads", SettingInt{&s.m_Threads, 1, 64}, ""},
        {"rate", SettingReal{&s.m_Rate, 0, 10}, ""},
        {"log.level", SettingText{&s.m_Level, {"info", "warn"}, false}, ""},
        {"a", SettingAddress{&s.m_A, true, true}, ""},
        {"b", SettingAddress{&s.m_B, true, false}, ""},
        {"peers", SettingList{&s.m_Peers, true}, ""},
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(good_file_is_applied)
{
    Sample s;
    BOOST_CHECK(
        CheckSettingsText("threads = 4\nrate = 2\na = \"127.0.0.1:1\"\npeers = [\"127.0.0.1:9\"]\n[log]\nlevel = \"warn\"\n", "f", Describe(s))
            .empty());
    BOOST_CHECK_EQUAL(s.m_Threads, 4);
    BOOST_CHECK_EQUAL(s.m_Rate, 2.0);
    BOOST_CHECK_EQUAL(s.m_Level, "warn");
    BOOST_CHECK_EQUAL(s.m_Peers.size(), 1u);
}

BOOST_AUTO_TEST_CASE(every_fault_is_told_with_line_and_key_and_nothing_is_applied)
{
    Sample     s;
    const auto faults = CheckSettingsText(
        "threads = 99\nrate = \"x\"\ncolour = 1\na = \"localhost:1\"\npeers = [\"127.0.0.1:9\", \"127.0.0.1:9\"]\nlog.level = \"loud\"\n", "f",
        Describe(s));
    std::map<std::string, unsigned> lines;
    for (const SettingFault& f : faults)
        lines[f.m_Key] = f.m_Line;
    BOOST_CHECK_EQUAL(faults.size(), 6u);
    BOOST_CHECK_EQUAL(lines["threads"], 1u);
    BOOST_CHECK_EQUAL(lines["rate"], 2u);
    BOOST_CHECK_EQUAL(lines["colour"], 3u);
    BOOST_CHECK_EQUAL(lines["a"], 4u);
    BOOST_CHECK_EQUAL(lines["peers"], 5u);
    BOOST_CHECK_EQUAL(lines["log.level"], 6u);
    BOOST_CHECK_EQUAL(s.m_Threads, 2);
}

BOOST_AUTO_TEST_CASE(duplicate_address_missing_key_and_broken_toml)
{
    Sample s;
    auto   faults = CheckSettingsText("a = \"127.0.0.1:1\"\nb = \"127.0.0.1:1\"\n", "f", Describe(s));
    BOOST_REQUIRE_EQUAL(faults.size(), 1u);
    BOOST_CHECK_EQUAL(faults[0].m_Key, "b");
    faults = CheckSettingsText("", "f", Describe(s));
    BOOST_REQUIRE_EQUAL(faults.size(), 1u);
    BOOST_CHECK_EQUAL(faults[0].m_Key, "a");
    faults = CheckSettingsText("a = \"127.0.0.1:1\nthreads = 1\n", "f", Describe(s));
    BOOST_REQUIRE(!faults.empty());
    BOOST_CHECK_EQUAL(faults[0].m_Line, 1u);
}

BOOST_AUTO_TEST_CASE(random_text_never_crashes_and_writes_nothing_when_faulty)
{
    ALDERVALE_PROPERTY("any text",
                       [](const std::string& text)
                       {
                           Sample     s;
                           const auto faults = CheckSettingsText(text, "f", Describe(s));
                           RC_ASSERT(!faults.empty()); // at least the required key is missing
                           RC_ASSERT(s.m_Threads == 2);
                       });
}

static std::string ReadPage(const std::string& name)
{
    std::ifstream     in(std::string(ALDERVALE_ROOT) + "/docs/" + name);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

BOOST_AUTO_TEST_CASE(capacity_page_agrees_with_the_recorded_run)
{
    const std::string        page     = ReadPage("CAPACITY.md");
    const boost::json::value recorded = boost::json::parse(ReadPage("capacity-slopes.json"));
    size_t                   rows     = 0;
    for (const auto& figure : recorded.as_object())
    {
        const std::string key = "| `" + std::string(figure.key()) + "` | ";
        const size_t      at  = page.find(key);
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, "docs/CAPACITY.md lacks " << figure.key());
        const size_t begin = at + key.size();
        BOOST_CHECK(boost::json::parse(page.substr(begin, page.find(" |\n", begin) - begin)) == figure.value());
        rows++;
    }
    BOOST_CHECK_GT(rows, 10u);
}

BOOST_AUTO_TEST_CASE(event_page_and_code_agree)
{
    const std::string page = ReadPage("EVENTS.md");
    size_t            rows = 0;
    for (size_t at = page.find("\n| 1"); at != std::string::npos; at = page.find("\n| 1", at + 1))
        rows++;
    size_t events = 0;
#define X(num, name, level, text)                                                                                                                    \
    events++;                                                                                                                                        \
    BOOST_CHECK_MESSAGE(page.find("| " + std::to_string(num) + " | " #name " | " #level " | " text " |") != std::string::npos,                       \
                        "docs/EVENTS.md lacks " #name);
    ALDERVALE_EVENTS(X)
#undef X
    BOOST_CHECK_EQUAL(rows, events);
}
