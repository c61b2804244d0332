// aldervale: the home of a key, the one replica that may run it
//
// Pure. Homes are the boxes of a service in declared order; the slot is chosen by rendezvous hash over slot numbers, so replacing the
// box in a slot moves only the keys of that slot. Router and agent must mean the same list: calls carry HomesEpoch().

#pragma once
#include "process/resources.h"

namespace aldervale
{

std::string HomeOf(const ServiceSpec& s, std::string_view key); // box name; the service must have boxes
uint64_t    HomesEpoch(const ServiceSpec& s);                   // changes with the list of homes
bool        NeedsKey(const ServiceSpec& s, std::string_view method);

} // namespace aldervale
