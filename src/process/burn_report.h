// aldervale: the report on service-level burn, as text or as a self-contained HTML page with plots
//
// Input is the answer of GET /aldervale/v1/burn. A burn of 1 uses up the allowed share of bad requests exactly; over 1 it won't last.

#pragma once
#include <boost/json.hpp>
#include <string>

namespace aldervale
{

std::string BurnText(const boost::json::value& burn);
std::string BurnHtml(const boost::json::value& burn, std::string_view made_at);

} // namespace aldervale
