// Servers that a request may be sent to: evacuated data centres, regions of routes and accounts.
#include "request/server_eligibility.h"
#include "support.h"

using namespace aldervale;

namespace
{

const RegionsOfDataCentres kRegions = {{"dc-1", "north"}, {"dc-2", "south"}, {"dc-3", "south"}};

} // namespace

BOOST_AUTO_TEST_CASE(regions_are_parsed_from_pairs)
{
    BOOST_TEST((ParseRegions("dc-1=north,dc-2=south,dc-3=south") == kRegions));
    BOOST_TEST(ParseRegions("").empty());
    BOOST_TEST((ParseRegions(",dc-1=north,,no pair,") == RegionsOfDataCentres{{"dc-1", "north"}}));
}

BOOST_AUTO_TEST_CASE(without_limits_all_data_centres_but_evacuated_ones_are_eligible)
{
    const EvacuatedDataCentres evacuated = {"dc-2"};
    const ServerEligibility    e(evacuated, kRegions);
    BOOST_TEST(e.IsEligible("dc-1"));
    BOOST_TEST(!e.IsEligible("dc-2"));
    BOOST_TEST(e.IsEligible("not in the settings"));
}

BOOST_AUTO_TEST_CASE(all_limits_apply_together)
{
    ALDERVALE_PROPERTY("a data centre is eligible if it isn't evacuated and each list that isn't empty names its region",
                       []
                       {
                           static const std::vector<std::string> kNames = {"north", "south", "west"};
                           static const std::vector<std::string> kDcs   = {"dc-1", "dc-2", "dc-3", "unknown"};
                           std::vector<std::vector<std::string>> lists(*rc::gen::inRange<size_t>(0, 4));
                           for (auto& list : lists)
                               for (const std::string& name : kNames)
                                   if (*rc::gen::inRange(0, 2) == 0)
                                       list.push_back(name);
                           EvacuatedDataCentres evacuated;
                           for (const std::string& dc : kDcs)
                               if (*rc::gen::inRange(0, 4) == 0)
                                   evacuated.insert(dc);
                           ServerEligibility e(evacuated, kRegions);
                           for (const auto& list : lists)
                               e.LimitRegions(list);
                           for (const std::string& dc : kDcs)
                           {
                               const auto region  = kRegions.find(dc);
                               bool       allowed = !evacuated.contains(dc);
                               for (const auto& list : lists)
                                   allowed = allowed &&
                                             (list.empty() || (region != kRegions.end() && std::count(list.begin(), list.end(), region->second) > 0));
                               RC_ASSERT(e.IsEligible(dc) == allowed);
                           }
                       });
}
