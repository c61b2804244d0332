// What a router believes of the world. See routing_world.h.
#include "request/routing_world.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr size_t kVersionsRemembered = 8; // of a model's weights, for their deadlines

}

bool NoteNamed(RoutingWorld& world, const std::string& model, uint64_t version, TimePoint known_at)
{
    NamedVersions& versions = world.m_Weights[model];
    const uint64_t newest   = versions.empty() ? 1 : versions.rbegin()->first;
    if (version <= newest)
        return false;
    versions[version] = known_at;
    if (versions.size() > kVersionsRemembered)
        versions.erase(versions.begin());
    LogEvent(Event_WeightsNamed, {{"model", model}, {"version", version}, {"before", newest}});
    return true;
}

} // namespace aldervale
