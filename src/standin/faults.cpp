// Faults of stand-ins, switched over HTTP. See standin.h.
#include "process/daemon.h"
#include "standin/standin.h"

namespace aldervale
{

Faults FaultSwitch::Get() const
{
    std::lock_guard lock(m_Mutex);
    return m_Faults;
}

bool FaultSwitch::Hit(double share)
{
    if (share <= 0)
        return false;
    std::lock_guard lock(m_Mutex);
    return static_cast<double>(m_Random() >> 11) * 0x1p-53 < share;
}

Status FaultSwitch::Set(std::string_view body)
{
    json::error_code  ec;
    const json::value v = json::parse(body, ec);
    if (ec || !v.is_object())
        return MakeError(ErrorCode_Invalid, "expected a JSON object", "body");
    Faults f = Get();
    for (const auto& m : v.as_object())
    {
        const std::string_view key   = m.key();
        bool*                  flag  = key == "down" ? &f.m_Down : key == "stall" ? &f.m_Stall : nullptr;
        double*                share = key == "lose_answers"  ? &f.m_LoseAnswers
                                       : key == "lose_before" ? &f.m_LoseBefore
                                       : key == "corrupt"     ? &f.m_Corrupt
                                       : key == "cut_streams" ? &f.m_CutStreams
                                                              : nullptr;
        if (flag != nullptr && m.value().is_bool())
            *flag = m.value().as_bool();
        else if (share != nullptr && m.value().is_number())
            *share = m.value().to_number<double>();
        else if (key == "slow_ms" && m.value().is_int64())
            f.m_SlowMs = m.value().as_int64();
        else
            return MakeError(ErrorCode_Invalid, "unknown member or wrong type", key);
    }
    std::lock_guard lock(m_Mutex);
    m_Faults = f;
    return Ok();
}

awaitable<bool> FaultSwitch::Before(HttpReply& reply)
{
    const Faults f = Get();
    if (f.m_SlowMs > 0)
        co_await SleepFor(milliseconds(f.m_SlowMs));
    while (Get().m_Stall)
        co_await SleepFor(milliseconds(20));
    if (Get().m_Down || Hit(f.m_LoseBefore))
    {
        reply.Abort();
        co_return false;
    }
    co_return true;
}

awaitable<bool> FaultSwitch::Admin(HttpRequest& req, HttpReply& reply, const StatsFunction& stats)
{
    if (!req.Path().starts_with("/admin/"))
        co_return false;
    HttpResponse res;
    if (req.Path() == "/admin/faults" && req.m_Method == "POST")
    {
        const Status s = Set(req.m_Body);
        res            = s ? JsonResponse(200, json::object{{"ok", true}}) : ErrorResponse(s.error());
    }
    else
        res = JsonResponse(200, stats());
    co_await reply.Send(res);
    co_return true;
}

} // namespace aldervale
