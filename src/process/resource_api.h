// aldervale: the resource API over HTTP, for operators and their tools
//
//   GET    /aldervale/v1/resources[?kind=K]            all, or of one kind
//   GET    /aldervale/v1/resources/KIND/NAME           one
//   PUT    /aldervale/v1/resources/KIND/NAME           {"spec": {...}}; If-Match: REVISION (0: must not exist)
//   DELETE /aldervale/v1/resources/KIND/NAME           If-Match as above
//   POST   /aldervale/v1/apply                         {"set", "prune", "dry_run", "resources": [{"kind","name","spec","if_revision"?}]}: all or none
//   POST   /aldervale/v1/boxes/NAME/drain, /undrain
//   GET    /aldervale/v1/watch?since=N&wait_ms=M       what was written after revision N; waits for it
//   GET    /aldervale/v1/replicas, /burn, /usage       status, apart from declarations
// Operators show a token; a role allows: read (GET), drain (and drains), write (and everything). Tokens are kept as SHA-256 only.
// Accepted means committed in the table service; the answer carries the revision.

#pragma once
#include "process/store_sync.h"
#include "request/router_serve.h"

namespace aldervale
{

enum OperatorRole
{
    OperatorRole_Read,
    OperatorRole_Drain,
    OperatorRole_Write,
};

struct Operator
{
    std::string  m_Name;                     // appears in the audit line of what it changes
    OperatorRole m_Role = OperatorRole_Read; //
    std::string  m_TokenSha256;              // hex
};

Result<Operator> ParseOperator(std::string_view text); // "NAME:ROLE:SHA256", as in [operators]

class ResourceApi
{
public:
    ResourceApi(Daemon& daemon, Node& node, StoreSync& sync, TableService& table, Usage& usage, ReplicaTable& replicas,
                std::vector<Operator> operators);
    ~ResourceApi();

    void            Start();                                             // flushing of accounting
    awaitable<bool> Handle(HttpRequest& req, HttpReply& reply);          // false: not below /aldervale/
    bool            OnFrame(const LinkPtr& link, const FrameBuf& frame); // questions from other routers

    struct Impl;

private:
    std::shared_ptr<Impl> m_Impl;
};

} // namespace aldervale
