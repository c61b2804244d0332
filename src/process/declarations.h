// aldervale: declarations in version control: a folder of TOML files, each with any number of [[resource]] tables
//
//   [[resource]]
//   kind = "Service"
//   name = "chat"
//   [resource.spec]
//   path = "/v1/chat"
//
// A file that is wrong is refused whole, with its name and line.

#pragma once
#include "process/resources.h"

namespace aldervale
{

Result<std::vector<json::object>> ReadDeclarations(const std::string& folder); // as POST /aldervale/v1/apply takes them
Result<std::vector<json::object>> ParseDeclarations(std::string_view text, std::string_view file);

} // namespace aldervale
