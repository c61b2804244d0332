// News of the list of servers as they cross between processes. See process/server_news.h.
#pragma once
#include "connection/frame.h"
#include "process/server_news.h"

namespace aldervale
{

inline ServersTold FromWire(const wire::ServersNews& news, Duration checked_age)
{
    ServersTold out;
    out.m_Since               = news.since();
    out.m_Lost                = news.lost();
    out.m_Unsettled           = milliseconds(news.unsettled_ms());
    out.m_CheckedAge          = checked_age;
    out.m_More                = news.more();
    out.m_Rows.m_StoreVersion = news.version();
    if (news.rows() == nullptr)
        return out;
    for (const wire::ServerRow* r : *news.rows())
    {
        Row row;
        row.m_Key     = r->key() != nullptr ? r->key()->str() : std::string();
        row.m_Version = r->version();
        row.m_Gone    = r->gone();
        row.m_Unread  = r->unread();
        if (r->value() != nullptr)
            row.m_Value.assign(r->value()->begin(), r->value()->end());
        out.m_Rows.m_Rows.push_back(std::move(row));
    }
    return out;
}

inline wire::ServersNewsT ToWire(const ServersTold& told)
{
    wire::ServersNewsT out;
    out.since        = told.m_Since;
    out.version      = told.m_Rows.m_StoreVersion;
    out.lost         = told.m_Lost;
    out.unsettled_ms = static_cast<uint32_t>(ToMs(told.m_Unsettled));
    out.more         = told.m_More;
    for (const Row& row : told.m_Rows.m_Rows)
    {
        auto r     = std::make_unique<wire::ServerRowT>();
        r->key     = row.m_Key;
        r->version = row.m_Version;
        r->gone    = row.m_Gone;
        r->unread  = row.m_Unread;
        r->value.assign(row.m_Value.begin(), row.m_Value.end());
        out.rows.push_back(std::move(r));
    }
    return out;
}

} // namespace aldervale
