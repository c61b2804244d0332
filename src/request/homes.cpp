// Assignment of keys to homes. See homes.h.
#include "request/homes.h"
#include <boost/assert.hpp>

namespace aldervale
{

std::string HomeOf(const ServiceSpec& s, std::string_view key)
{
    BOOST_ASSERT_MSG(!s.m_Boxes.empty(), "HomeOf() for a service without boxes");
    std::vector<std::string> slots;
    for (size_t i = 0; i < s.m_Boxes.size(); i++)
        slots.push_back("slot-" + std::to_string(i));
    return s.m_Boxes[RendezvousFirst(key, slots)];
}

uint64_t HomesEpoch(const ServiceSpec& s)
{
    std::string all;
    for (const std::string& box : s.m_Boxes)
        all += box + "\n";
    return Hash64(all);
}

bool NeedsKey(const ServiceSpec& s, std::string_view method)
{
    return std::find(s.m_NonRepeatable.begin(), s.m_NonRepeatable.end(), method) != s.m_NonRepeatable.end();
}

} // namespace aldervale
