// Weight store over HTTP. See weight_store.h.
#include "external/weight_store.h"

namespace aldervale
{

namespace
{

class HttpWeightStore : public WeightStore
{
public:
    explicit HttpWeightStore(Endpoint at) : m_At(at) {}

    awaitable<Result<std::string>> ReadManifest(std::string digest, TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Target = "/v1/weights/" + digest + "/manifest";
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        if (res.value().m_Status == 404)
            co_return MakeError(ErrorCode_NotFound, "weight store has no manifest " + digest);
        if (res.value().m_Status != 200)
            co_return MakeError(ErrorCode_Unavailable, "weight store answered " + std::to_string(res.value().m_Status));
        co_return std::move(res.value().m_Body);
    }

    awaitable<Result<std::vector<uint8_t>>> ReadChunk(std::string digest, std::string shard, ChunkLocation p, TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Target = "/v1/weights/" + digest + "/" + shard;
        req.m_Fields.push_back({"Range", "bytes=" + std::to_string(p.m_Offset) + "-" + std::to_string(p.m_Offset + p.m_Length - 1)});
        auto res = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        if (res.value().m_Status != 206)
            co_return MakeError(ErrorCode_Unavailable, "weight store answered " + std::to_string(res.value().m_Status));
        const std::string& body = res.value().m_Body;
        co_return std::vector<uint8_t>(body.begin(), body.end());
    }

private:
    Endpoint   m_At;     //
    HttpClient m_Client; //
};

} // namespace

std::unique_ptr<WeightStore> MakeHttpWeightStore(Endpoint at)
{
    return std::make_unique<HttpWeightStore>(at);
}

} // namespace aldervale
