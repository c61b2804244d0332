// Table service over HTTP: GET /v1/scan?prefix=P&after=N, POST /v1/txn. See table_service.h.
#include "external/table_service.h"
#include <boost/json.hpp>

namespace aldervale
{

namespace json = boost::json;

namespace
{

Result<TableScan> ParseScan(std::string_view text)
{
    json::error_code  ec;
    const json::value v = json::parse(text, ec);
    if (ec || !v.is_object() || !v.as_object().contains("rows") || !v.as_object().contains("latest"))
        return MakeError(ErrorCode_Corrupt, "table service answered something else");
    TableScan scan;
    scan.m_Latest = v.at("latest").to_number<uint64_t>();
    for (const json::value& row : v.at("rows").as_array())
        scan.m_Rows.push_back(
            {std::string(row.at("key").as_string()), std::string(row.at("value").as_string()), row.at("version").to_number<uint64_t>()});
    return scan;
}

std::string SerializeTxn(const TableTxn& txn)
{
    json::array conditions;
    for (const TableCondition& c : txn.m_If)
        conditions.push_back(json::object{{"key", c.m_Key}, {"version", c.m_Version}});
    json::array puts;
    for (const TablePut& p : txn.m_Put)
        puts.push_back(json::object{{"key", p.m_Key}, {"value", p.m_Value}});
    return json::serialize(json::object{{"if", conditions}, {"put", puts}});
}

class HttpTableService : public TableService
{
public:
    explicit HttpTableService(Endpoint at) : m_At(at) {}

    awaitable<Result<TableScan>> Scan(std::string prefix, uint64_t after, TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Target = "/v1/scan?prefix=" + prefix + "&after=" + std::to_string(after);
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return res.error();
        if (res.value().m_Status != 200)
            co_return MakeError(ErrorCode_Unavailable, "table service answered " + std::to_string(res.value().m_Status));
        co_return ParseScan(res.value().m_Body);
    }

    awaitable<TxnResult> Commit(TableTxn txn, TimePoint deadline) override
    {
        HttpRequest req;
        req.m_Method = "POST";
        req.m_Target = "/v1/txn";
        req.m_Body   = SerializeTxn(txn);
        auto res     = co_await m_Client.Call(m_At, req, deadline);
        if (!res)
            co_return TxnResult{res.error().m_Verdict == Verdict_NotRun ? TxnOutcome_Refused : TxnOutcome_Unknown, 0};
        if (res.value().m_Status == 409)
            co_return TxnResult{TxnOutcome_Conflict, 0};
        if (res.value().m_Status == 429 || res.value().m_Status == 503)
            co_return TxnResult{TxnOutcome_Refused, 0};
        if (res.value().m_Status != 200)
            co_return TxnResult{TxnOutcome_Unknown, 0};
        json::error_code  ec;
        const json::value v = json::parse(res.value().m_Body, ec);
        if (ec || !v.is_object() || !v.as_object().contains("version"))
            co_return TxnResult{TxnOutcome_Unknown, 0};
        co_return TxnResult{TxnOutcome_Committed, v.at("version").to_number<uint64_t>()};
    }

private:
    Endpoint   m_At;     //
    HttpClient m_Client; //
};

} // namespace

std::unique_ptr<TableService> MakeHttpTableService(Endpoint at)
{
    return std::make_unique<HttpTableService>(at);
}

} // namespace aldervale
