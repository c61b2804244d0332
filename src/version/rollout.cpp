// Rollout planning. See rollout.h.
#include "version/rollout.h"
#include "version/manifest.h"

namespace aldervale
{

namespace
{

VersionState StateOf(const BoxObservation& b, const std::string& slice)
{
    const auto it = b.m_Versions.find(slice);
    return it == b.m_Versions.end() ? VersionState_Absent : it->second.m_State;
}

struct Replica // the boxes of one replica, in position order
{
    std::span<const BoxObservation> m_Boxes;

    std::string SliceFor(const std::string& digest, size_t i) const { return SliceDigest(digest, i, m_Boxes.size()); }

    bool Serves(const std::string& digest) const
    {
        for (size_t i = 0; i < m_Boxes.size(); i++)
            if (!m_Boxes[i].m_Reachable || m_Boxes[i].m_Active != SliceFor(digest, i))
                return false;
        return true;
    }

    bool Available() const // its boxes serve the same version, whichever it is
    {
        return !m_Boxes[0].m_Active.empty() && Serves(std::string(WholeDigest(m_Boxes[0].m_Active)));
    }

    bool Ready(const std::string& digest) const // every box has at least verified its slice
    {
        for (size_t i = 0; i < m_Boxes.size(); i++)
        {
            const VersionState s = StateOf(m_Boxes[i], SliceFor(digest, i));
            if (!m_Boxes[i].m_Reachable || (s != VersionState_Verified && s != VersionState_Loading && s != VersionState_Servable))
                return false;
        }
        return true;
    }
};

std::vector<Replica> GroupReplicas(const RolloutInput& in)
{
    std::vector<Replica> out;
    for (size_t at = 0; at + in.m_BoxesPerReplica <= in.m_Boxes.size(); at += in.m_BoxesPerReplica)
        out.push_back({std::span(in.m_Boxes).subspan(at, in.m_BoxesPerReplica)});
    return out;
}

void PlanPrepares(RolloutPlan& plan, const Replica& replica)
{
    for (size_t i = 0; i < replica.m_Boxes.size(); i++)
    {
        const BoxObservation& b     = replica.m_Boxes[i];
        const std::string     slice = replica.SliceFor(plan.m_Target, i);
        const VersionState    s     = StateOf(b, slice);
        if (b.m_Reachable && (s == VersionState_Absent || s == VersionState_Failed))
            plan.m_Orders.push_back({b.m_Name, OrderKind_Prepare, slice, {}});
    }
}

void PlanCommits(RolloutPlan& plan, const RolloutInput& in, const std::vector<Replica>& replicas)
{
    size_t out_of_service = 0;
    for (const Replica& r : replicas)
        out_of_service += r.Available() ? 0 : in.m_BoxesPerReplica;
    for (const Replica& r : replicas)
    {
        if (r.Serves(plan.m_Target) || !r.Ready(plan.m_Target))
            continue;
        if (r.Available())
        {
            const bool within_bound = out_of_service + in.m_BoxesPerReplica <= std::max(in.m_MaxUnavailable, in.m_BoxesPerReplica);
            if (in.m_Paused || !within_bound)
                continue;
            out_of_service += in.m_BoxesPerReplica;
        }
        for (size_t i = 0; i < r.m_Boxes.size(); i++)
        {
            const std::string slice = r.SliceFor(plan.m_Target, i);
            if (StateOf(r.m_Boxes[i], slice) == VersionState_Verified)
                plan.m_Orders.push_back({r.m_Boxes[i].m_Name, OrderKind_Commit, slice, {}});
        }
    }
}

void PlanAdapters(RolloutPlan& plan, const RolloutInput& in)
{
    for (const BoxObservation& b : in.m_Boxes)
    {
        if (!b.m_Reachable || b.m_Active.empty() || WholeDigest(b.m_Active) != plan.m_Target || plan.m_Target != in.m_Wanted)
            continue;
        for (const std::string& adapter : in.m_Adapters)
        {
            const VersionState s = StateOf(b, adapter);
            if (s == VersionState_Absent || s == VersionState_Verified || s == VersionState_Failed)
                plan.m_Orders.push_back({b.m_Name, OrderKind_Commit, adapter, b.m_Active});
        }
    }
}

// Drops the versions that are neither declared, nor previous, nor serving, nor a declared adapter.
void PlanUnloads(RolloutPlan& plan, const RolloutInput& in)
{
    for (const BoxObservation& b : in.m_Boxes)
    {
        if (!b.m_Reachable)
            continue;
        for (const auto& [slice, held] : b.m_Versions)
        {
            const std::string whole(WholeDigest(slice));
            const bool        adapter = std::find(in.m_Adapters.begin(), in.m_Adapters.end(), whole) != in.m_Adapters.end();
            const bool        needed  = whole == in.m_Wanted || whole == in.m_Previous || slice == b.m_Active || adapter;
            const bool        busy    = held.m_State == VersionState_Loading || held.m_State == VersionState_Servable;
            if (!needed && !busy)
                plan.m_Orders.push_back({b.m_Name, OrderKind_Unload, slice, {}});
        }
    }
}

} // namespace

RolloutPlan PlanRollout(const RolloutInput& in)
{
    RolloutPlan                plan;
    const std::vector<Replica> replicas = GroupReplicas(in);
    size_t                     failed   = 0;
    for (const Replica& r : replicas)
        for (size_t i = 0; i < r.m_Boxes.size(); i++)
            if (const auto v = r.m_Boxes[i].m_Versions.find(r.SliceFor(in.m_Wanted, i)); v != r.m_Boxes[i].m_Versions.end())
                failed += v->second.m_Failures;
    plan.m_Halt   = in.m_Halted || (failed >= in.m_HaltAfterFailed && !in.m_Previous.empty());
    plan.m_Target = plan.m_Halt && !in.m_Previous.empty() ? in.m_Previous : in.m_Wanted;
    for (const Replica& r : replicas)
    {
        PlanPrepares(plan, r);
        plan.m_ServableBoxes += r.Serves(plan.m_Target) ? r.m_Boxes.size() : 0;
    }
    PlanCommits(plan, in, replicas);
    PlanAdapters(plan, in);
    PlanUnloads(plan, in);
    return plan;
}

} // namespace aldervale
