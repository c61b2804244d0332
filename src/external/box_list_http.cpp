// Box list over HTTP. See box_list.h.
#include "external/box_list.h"

namespace aldervale
{

namespace
{

class HttpBoxList : public BoxListSource
{
public:
    explicit HttpBoxList(Endpoint at) : m_At(at) {}

    awaitable<Result<BoxList>> Read(TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Target = "/v1/boxes";
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        if (res.value().m_Status != 200)
            co_return MakeError(ErrorCode_Unavailable, "box list answered " + std::to_string(res.value().m_Status));
        co_return ParseBoxList(res.value().m_Body);
    }

private:
    Endpoint   m_At;     //
    HttpClient m_Client; //
};

} // namespace

std::unique_ptr<BoxListSource> MakeHttpBoxList(Endpoint at)
{
    return std::make_unique<HttpBoxList>(at);
}

} // namespace aldervale
