// Tests of matching requests against declared routes, and of splitting event streams into events.
#include "request/event_splitter.h"
#include "support.h"
#include "version/route_table.h"

using namespace aldervale;

namespace
{

Route MakeRoute(const std::string& host, const std::string& prefix, const std::string& service)
{
    Route r;
    r.m_Name    = host + prefix;
    r.m_Host    = host;
    r.m_Prefix  = prefix;
    r.m_Targets = {{service, 1}};
    return r;
}

RouteTable MakeTable()
{
    RouteTableSpec spec;
    spec.m_Version  = 3;
    spec.m_Routes   = {MakeRoute("a.example", "/x/", "one"), MakeRoute("a.example", "/x/y/", "two"), MakeRoute("b.example", "/", "three")};
    spec.m_Accounts = {{"acme", {"key-1", "key-2"}, 0u}, {"other", {}, std::nullopt}};
    Service one;
    one.m_Name      = "one";
    spec.m_Services = {one};
    return RouteTable(std::move(spec));
}

std::vector<StreamEvent> All(EventSplitter& s)
{
    std::vector<StreamEvent> out;
    while (auto e = s.Next())
        out.push_back(*e);
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    const RouteTable t = MakeTable();
    BOOST_TEST(t.FindRoute("a.example", "/x/1")->m_Targets[0].m_Service == "one");
    BOOST_TEST(t.FindRoute("A.example:8080", "/x/y/1")->m_Targets[0].m_Service == "two");
    BOOST_TEST(t.FindRoute("a.example", "/x") == nullptr);
    BOOST_TEST(t.FindRoute("a.example", "/xy/") == nullptr);
    BOOST_TEST(t.FindRoute("c.example", "/x/") == nullptr);
    BOOST_TEST(t.FindRoute("b.example", "/anything")->m_Targets[0].m_Service == "three");
}

BOOST_AUTO_TEST_CASE(keys_belong_to_accounts)
{
    const RouteTable t = MakeTable();
    BOOST_TEST(t.FindAccount("key-2")->m_Name == "acme");
    BOOST_TEST(t.FindAccount("") == nullptr);
    BOOST_TEST(t.FindAccount("key-3") == nullptr);
    Route r = MakeRoute("a", "/", "one");
    BOOST_TEST(t.NeedsKey(r));
    r.m_Public = true;
    BOOST_TEST(!t.NeedsKey(r));
    BOOST_TEST(t.FindService("one") != nullptr);
    BOOST_TEST(t.FindService("two") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_split_is_by_weight_and_the_same_for_the_same_request)
{
    Route r;
    r.m_Targets = {{"big", 90}, {"small", 10}, {"none", 0}};
    int small   = 0;
    for (int i = 0; i < 4000; i++)
    {
        const std::string id = "request-" + std::to_string(i);
        BOOST_TEST(PickTarget(r, id).m_Service == PickTarget(r, id).m_Service);
        BOOST_TEST(PickTarget(r, id).m_Service != "none");
        small += PickTarget(r, id).m_Service == "small" ? 1 : 0;
    }
    BOOST_TEST(small > 300);
    BOOST_TEST(small < 520);
}

BOOST_AUTO_TEST_CASE(events_come_out_whole_with_their_ids)
{
    EventSplitter s;
    s.Feed("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversions: 3\nid: 4\nda");
    const auto events = All(s);
    BOOST_REQUIRE(events.size() == 2u);
    BOOST_TEST(events[0].m_Id == "1");
    BOOST_TEST(events[0].m_Bytes == "id: 1\ndata: a\n\n");
    BOOST_TEST(events[1].m_Id == "2");
    BOOST_TEST(s.PendingBytes() > 0u);
    s.Feed("ta: c\n\n");
    const auto rest = All(s);
    BOOST_REQUIRE(rest.size() == 1u);
    BOOST_TEST(rest[0].m_Id == "4");
    BOOST_TEST(s.PendingBytes() == 0u);
}

BOOST_AUTO_TEST_CASE(properties_of_event_streams)
{
    ALDERVALE_PROPERTY("however the bytes are cut, the same events come out, and nothing of a broken one",
                       []
                       {
                           std::string text;
                           const int   n = *rc::gen::inRange(0, 12);
                           for (int i = 0; i < n; i++)
                               text +=
                                   "id: " + std::to_string(i) + "\ndata: " + std::string(static_cast<size_t>(*rc::gen::inRange(0, 40)), 'x') + "\n\n";
                           const std::string part = *rc::gen::element<std::string>("", "id: 99\ndata: never whole");
                           const std::string sent = text + part;
                           EventSplitter     s;
                           std::string       out;
                           size_t            events = 0;
                           for (size_t at = 0; at < sent.size();)
                           {
                               const size_t step = static_cast<size_t>(*rc::gen::inRange(1, 30));
                               s.Feed(std::string_view(sent).substr(at, step));
                               at += step;
                               for (const StreamEvent& e : All(s))
                               {
                                   RC_ASSERT(e.m_Id == std::to_string(events));
                                   out += e.m_Bytes;
                                   events++;
                               }
                           }
                           RC_ASSERT(out == text);
                           RC_ASSERT(s.PendingBytes() == part.size());
                       });
}
