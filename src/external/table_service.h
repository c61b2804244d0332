// aldervale: the platform's transactional table service
//
// Rows with versions, read by prefix and written by conditional transactions. The interface is narrow so that tests use a fake; the
// HTTP backend is table_service_http.cpp. A lost answer to a write is Unknown, never an error that sounds like "not written".

#pragma once
#include "connection/http.h"

namespace aldervale
{

struct TableRow
{
    std::string m_Key;         //
    std::string m_Value;       // JSON text
    uint64_t    m_Version = 0; // commit number of the write that made it; grows over all rows
};

struct TableScan
{
    std::vector<TableRow> m_Rows;       // changed after the asked commit number
    uint64_t              m_Latest = 0; // commit number that the scan is consistent with
};

struct TableCondition
{
    std::string m_Key;         //
    uint64_t    m_Version = 0; // 0: the row must not exist
};

struct TablePut
{
    std::string m_Key;   //
    std::string m_Value; // JSON text
};

struct TableTxn
{
    std::vector<TableCondition> m_If;  // all must hold
    std::vector<TablePut>       m_Put; // all or none are written
};

enum TxnOutcome
{
    TxnOutcome_Committed, // m_Version is the commit number
    TxnOutcome_Conflict,  // a condition didn't hold; nothing written
    TxnOutcome_Refused,   // the service took nothing: rate limit, or it could not be reached at all
    TxnOutcome_Unknown,   // sent, no answer: it may have taken effect
};

struct TxnResult
{
    TxnOutcome m_Outcome = TxnOutcome_Unknown; //
    uint64_t   m_Version = 0;                  // TxnOutcome_Committed only
};

class TableService
{
public:
    virtual ~TableService()                                                                           = default;
    virtual awaitable<Result<TableScan>> Scan(std::string prefix, uint64_t after, TimePoint deadline) = 0;
    virtual awaitable<TxnResult>         Commit(TableTxn txn, TimePoint deadline)                     = 0;
};

std::unique_ptr<TableService> MakeHttpTableService(Endpoint at);

// Row keys, in one place.
constexpr std::string_view kRowConfigPrefix   = "config/";
constexpr std::string_view kRowConfigHead     = "config/head";
constexpr std::string_view kRowResourcePrefix = "config/res/";
constexpr std::string_view kRowLeasePrefix    = "lease/controller/";
constexpr std::string_view kRowUsagePrefix    = "usage/";

} // namespace aldervale
