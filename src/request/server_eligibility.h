// aldervale: which servers a request may be sent to at all: regions that its route and account allow, and data centres that aren't evacuated
//
// Performs no I/O. Eligibility comes before any choice: no prediction, retry or resumed stream may use a server that isn't eligible, however idle it
// is. Load pattern: operators evacuate a data centre, or take a region away from a route, while requests wait for a place; the remaining
// servers get the load of all, and requests for which none remains are refused at once.
//
// Declarations may change while a request is served. A server must be allowed by those under which the request arrived and by the newest ones.
//
// Usage:
//   ServerEligibility e(state.m_Evacuated, state.m_Regions);
//   e.LimitRegions(route.m_AllowedRegions); e.LimitRegions(account.m_AllowedRegions);
//   if (e.IsEligible(server.m_DataCentre)) ...

#pragma once
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace aldervale
{

using EvacuatedDataCentres = std::set<std::string, std::less<>>;
using RegionsOfDataCentres = std::map<std::string, std::string, std::less<>>; // data centre -> region

// Parses "data-centre=region" pairs separated by commas; other text between commas is ignored.
RegionsOfDataCentres ParseRegions(std::string_view text);

class ServerEligibility // refers to what it was made from
{
public:
    ServerEligibility(const EvacuatedDataCentres& evacuated, const RegionsOfDataCentres& regions) : m_Evacuated(evacuated), m_Regions(regions) {}

    void LimitRegions(std::span<const std::string> allowed); // empty: no limit; each call limits further
    bool IsEligible(std::string_view data_centre) const;     // a data centre of unknown region is eligible only without limits

private:
    const EvacuatedDataCentres&               m_Evacuated; //
    const RegionsOfDataCentres&               m_Regions;   //
    std::vector<std::span<const std::string>> m_Limits;    // none of them empty
};

} // namespace aldervale
