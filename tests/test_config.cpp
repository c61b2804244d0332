// Resources and configurations: parsing, rules, deltas in any order, bad input with field paths.
#include "process/declarations.h"
#include "process/resources.h"
#include "support.h"

using namespace aldervale;

namespace
{

Resource Make(Kind kind, const std::string& name, std::string_view spec, uint64_t revision = 1)
{
    return {{kind, name}, json::parse(spec).as_object(), revision, false, {}, {}, 0};
}

ConfigPtr Config(std::vector<Resource> all)
{
    return ApplyDelta(ConfigSnapshot{}, {0, 1, std::move(all)});
}

const std::string kDigest(64, 'a');

std::vector<Resource> GoodSet()
{
    return {Make(Kind_DataCentre, "north", R"({"region": "n"})"),
            Make(Kind_Box, "loan-0", R"({"data_centre": "north", "address": "127.0.0.1:1", "role": "backend", "backend": "plain"})"),
            Make(Kind_Box, "loan-1", R"({"data_centre": "north", "address": "127.0.0.1:2", "role": "backend", "backend": "plain"})"),
            Make(Kind_Box, "loan-2", R"({"data_centre": "north", "address": "127.0.0.1:9", "role": "backend", "backend": "plain"})"),
            Make(Kind_Box, "llm-0", R"({"data_centre": "north", "address": "127.0.0.1:3", "role": "backend"})"),
            Make(Kind_Box, "llm-1", R"({"data_centre": "north", "address": "127.0.0.1:4", "role": "backend"})"),
            Make(Kind_Model, "m", "{}"),
            Make(Kind_Version, "m-1", R"({"model": "m", "manifest": ")" + kDigest + "\"}"),
            Make(Kind_Placement, "p", R"({"model": "m", "version": "m-1", "replicas": {"north": 2}})"),
            Make(Kind_Service, "loans", R"({"path": "/v1/loans", "type": "plain", "boxes": ["loan-0", "loan-1"], "non_repeatable": ["POST"]})"),
            Make(Kind_ClientAccount, "desk", R"({"token_sha256": ")" + kDigest + R"(", "limit_rps": 5})")};
}

// The first fault's field, after replacing or adding `r` in the good set; empty when accepted.
std::string FaultOf(const Resource& r)
{
    std::vector<Resource> all = GoodSet();
    std::erase_if(all, [&](const Resource& o) { return o.m_Key == r.m_Key; });
    all.push_back(r);
    const std::vector<Error> faults = ValidateConfig(*Config(all));
    return faults.empty() ? std::string() : faults.front().m_Field;
}

} // namespace

BOOST_AUTO_TEST_CASE(good_set_is_accepted)
{
    BOOST_CHECK(ValidateConfig(*Config(GoodSet())).empty());
}

BOOST_AUTO_TEST_CASE(bad_input_names_the_field)
{
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_ClientAccount, "x", R"({"token_sha256": ")" + std::string(64, 'b') + "\"}")),
                      "ClientAccount/x:spec.limit_rps");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_ClientAccount, "x", R"({"token_sha256": "short", "limit_rps": 1})")), "ClientAccount/x:spec.token_sha256");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_ClientAccount, "x", R"({"token_sha256": ")" + kDigest + R"(", "limit_rps": 1})")),
                      "ClientAccount/x:spec.token_sha256");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Service, "other", R"({"path": "/v1/loans", "type": "plain", "boxes": ["loan-0"]})")),
                      "Service/other:spec.path");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Service, "other", R"({"path": "/x", "type": "plain", "boxes": ["nobody"]})")), "Service/other:spec.boxes");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Service, "other", R"({"path": "/x", "type": "model", "model": "m", "colour": 1})")),
                      "Service/other:spec.colour");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Box, "z", R"({"data_centre": "nowhere", "address": "127.0.0.1:7", "role": "backend"})")),
                      "Box/z:spec.data_centre");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Box, "z", R"({"data_centre": "north", "address": "host:7", "role": "backend"})")), "Box/z:spec.address");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Box, "z", R"({"data_centre": "north", "address": "127.0.0.1:1", "role": "backend"})")), "Box/z:spec.address");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Version, "m-2", R"({"model": "m", "manifest": "xyz"})")), "Version/m-2:spec.manifest");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Placement, "p", R"({"model": "m", "version": "m-9", "replicas": {"north": 1}})")),
                      "Placement/p:spec.version");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Placement, "p", R"({"model": "m", "version": "m-1", "replicas": {"north": -1}})")),
                      "Placement/p:spec.replicas.north");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Rollout, "o", R"({"placement": "q"})")), "Rollout/o:spec.placement");
    BOOST_CHECK_EQUAL(FaultOf(Make(Kind_Adapter, "a", R"({"model": "m", "manifest": ")" + kDigest + R"(", "base": "m-9"})")), "Adapter/a:spec.base");
}

BOOST_AUTO_TEST_CASE(resource_json_refuses_unknown_kind_and_member)
{
    BOOST_CHECK_EQUAL(ResourceFromJson(json::parse(R"({"kind": "Boat", "name": "x", "spec": {}})")).error().m_Field, "kind");
    BOOST_CHECK_EQUAL(ResourceFromJson(json::parse(R"({"kind": "Box", "name": "x", "spec": {}, "extra": 1})")).error().m_Field, "extra");
    BOOST_CHECK_EQUAL(ResourceFromJson(json::parse(R"({"kind": "Box", "name": "Not Good", "spec": {}})")).error().m_Field, "name");
    BOOST_CHECK_EQUAL(ResourceFromJson(json::parse(R"({"kind": "Box", "name": "x"})")).error().m_Field, "spec");
}

BOOST_AUTO_TEST_CASE(declarations_name_file_and_line)
{
    BOOST_CHECK_EQUAL(ParseDeclarations("[[resource]]\nkind = \"Boat\"\nname = \"x\"\n[resource.spec]\n", "a.toml").error().m_Field, "a.toml:1");
    BOOST_CHECK_EQUAL(ParseDeclarations("x = 1\n", "a.toml").error().m_Field, "a.toml:1");
    BOOST_CHECK(ParseDeclarations("[[resource]]\nkind = \"Model\"\nname = \"x\"\n[resource.spec]\n", "a.toml").has_value());
}

BOOST_AUTO_TEST_CASE(examples_are_valid)
{
    for (const char* name : {"leesketen", "turbine"})
    {
        auto declared = ReadDeclarations(std::string(ALDERVALE_ROOT) + "/examples/" + name);
        BOOST_REQUIRE(declared.has_value());
        std::vector<Resource> all;
        for (const json::object& o : declared.value())
        {
            all.push_back(ResourceFromJson(o).value());
            all.back().m_Revision = 1;
        }
        const std::vector<Error> faults = ValidateConfig(*Config(all));
        BOOST_CHECK_MESSAGE(faults.empty(), (faults.empty() ? "" : faults.front().m_Field + ": " + faults.front().m_Message));
    }
}

BOOST_AUTO_TEST_CASE(a_home_of_keys_leaves_only_when_it_is_gone)
{
    const ConfigPtr       from = Config(GoodSet());
    std::vector<Resource> all  = GoodSet();
    all[9].m_Spec["boxes"]     = json::array{"loan-0", "loan-2"};
    const ConfigPtr   to       = Config(all);
    const std::string gone     = "loan-1";
    BOOST_CHECK_EQUAL(ValidateTransition(*from, *to, {}).size(), 1u);
    BOOST_CHECK(ValidateTransition(*from, *to, std::span(&gone, 1)).empty());
    all[9].m_Spec["boxes"] = json::array{"loan-0"};
    BOOST_CHECK(!ValidateTransition(*from, *Config(all), std::span(&gone, 1)).empty()); // the number of homes can't change
}

BOOST_AUTO_TEST_CASE(revisions_never_fall_whatever_the_order_of_deltas)
{
    ALDERVALE_PROPERTY("deltas from a random history, repeated and shuffled, lead each process upward to the newest state it can know",
                       []
                       {
                           // History: revision r writes account r % 5.
                           const int              revisions = *rc::gen::inRange(1, 25);
                           std::vector<ConfigPtr> history{std::make_shared<ConfigSnapshot>()};
                           for (int r = 1; r <= revisions; r++)
                           {
                               Resource a  = Make(Kind_Model, "m" + std::to_string(r % 5), "{}", static_cast<uint64_t>(r));
                               a.m_Deleted = r % 7 == 0;
                               history.push_back(ApplyDelta(*history.back(), {static_cast<uint64_t>(r - 1), static_cast<uint64_t>(r), {a}}));
                           }
                           ConfigPtr own = history[0];
                           for (int k = 0; k < 60; k++)
                           {
                               const size_t to    = *rc::gen::inRange<size_t>(0, history.size());
                               const size_t from  = *rc::gen::inRange<size_t>(0, to + 1);
                               const auto   delta = DeltaFromJson(DeltaToJson(DeltaSince(*history[to], from)));
                               RC_ASSERT(delta.has_value());
                               const ConfigPtr next = ApplyDelta(*own, delta.value());
                               if (!next)
                                   continue;
                               RC_ASSERT(next->m_Revision > own->m_Revision);
                               own = next;
                               RC_ASSERT(own->m_Resources.size() == history[own->m_Revision]->m_Resources.size());
                               for (const auto& [key, r] : history[own->m_Revision]->m_Resources)
                                   RC_ASSERT(own->m_Resources.at(key).m_Revision == r.m_Revision);
                           }
                       });
}

BOOST_AUTO_TEST_CASE(placement_is_the_same_everywhere_and_keeps_replicas_whole)
{
    std::vector<Resource> all          = GoodSet();
    all[8].m_Spec["boxes_per_replica"] = 2;
    const ConfigPtr c                  = Config(all);
    BOOST_CHECK_EQUAL(AssignBoxes(*c, "p", "north").size(), 2u); // two replicas of two boxes are asked for, two boxes are there
    BOOST_CHECK(AssignBoxes(*c, "p", "elsewhere").empty());
}
