// What a router believes of the world. See routing_world.h.
#include "request/routing_world.h"
#include "common/log.h"

namespace aldervale
{

namespace
{

constexpr uint64_t kFirstVersion       = 1;                  // in force without having been named
constexpr size_t   kVersionsRemembered = 8;                  // of a model's weights, for their deadlines
constexpr auto     kUnknownNaming      = milliseconds(2500); // that older weights may be used when it isn't known when a version was named

bool Better(const Naming& a, const Naming& than)
{
    return a.m_Sure && (!than.m_Sure || a.m_At < than.m_At);
}

// False: all that are remembered are newer.
bool MakeRoom(NamedVersions& versions, uint64_t version)
{
    if (versions.size() < kVersionsRemembered)
        return true;
    if (version < versions.begin()->first)
        return false;
    versions.erase(versions.begin());
    return true;
}

} // namespace

Naming AssumedNaming(TimePoint now, Duration deadline)
{
    return {now - deadline + std::min<Duration>(deadline, kUnknownNaming), false};
}

bool NoteNamed(RoutingWorld& world, const std::string& model, uint64_t version, Naming naming)
{
    NamedVersions& versions = world.m_Weights[model];
    const uint64_t newest   = versions.empty() ? kFirstVersion : versions.rbegin()->first;
    const auto     known    = versions.find(version);
    if (known != versions.end())
    {
        if (Better(naming, known->second))
            known->second = naming;
        return false;
    }
    const bool guess = version < newest && !naming.m_Sure; // of an older version: says nothing
    if (version <= kFirstVersion || guess || !MakeRoom(versions, version))
        return false;
    versions[version] = naming;
    LogEvent(Event_WeightsNamed, {{"model", model}, {"version", version}, {"before", newest}, {"sure", naming.m_Sure}});
    return version > newest;
}

void NoteReported(RoutingWorld& world, const std::string& model, std::span<const NamedAge> named, Duration deadline, TimePoint now)
{
    for (const NamedAge& n : named)
    {
        const Naming naming = n.m_AgeMs >= 0 ? Naming{now - milliseconds(n.m_AgeMs), true} : AssumedNaming(now, deadline);
        NoteNamed(world, model, n.m_Version, naming);
    }
}

bool DeclarationsDoubted(const DeclarationsBelief& belief, TimePoint now)
{
    if (belief.m_Held == 0)
        return false;
    return belief.m_Heard > belief.m_Held || now - belief.m_CheckedAt > kDoubtedAfter;
}

} // namespace aldervale
