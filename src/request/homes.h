// aldervale: the home of a key, the one box that may run calls with this key
//
// Performs no I/O. The boxes of a service, in declared order, fill numbered slots. A key is assigned to a slot by rendezvous hashing over the slot
// numbers, so replacing the box in a slot moves only the keys of that slot. Router and agent must use the same list of boxes, so calls carry
// HomesEpoch().

#pragma once
#include "process/resources.h"

namespace aldervale
{

std::string HomeOf(const ServiceSpec& s, std::string_view key);      // name of the box; the service must have at least one
uint64_t    HomesEpoch(const ServiceSpec& s);                        // hash of the list of boxes
bool        NeedsKey(const ServiceSpec& s, std::string_view method); // whether calls with this method must carry an Idempotency-Key

} // namespace aldervale
