// aldervale: the platform's lagging list of live and leaving boxes: GET /v1/boxes
#pragma once
#include "connection/http.h"
#include "process/membership.h"

namespace aldervale
{

class BoxListSource
{
public:
    virtual ~BoxListSource()                                    = default;
    virtual awaitable<Result<BoxList>> Read(TimePoint deadline) = 0;
};

std::unique_ptr<BoxListSource> MakeHttpBoxList(Endpoint at);

} // namespace aldervale
