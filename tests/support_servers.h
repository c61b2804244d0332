// Test support: entries of the server list, and a start time.
#pragma once
#include "process/server_directory.h"
#include "support.h"

namespace aldervale
{

const TimePoint kStart = TimePoint{} + seconds(100);

inline ServerEntry Entry(const std::string& id, const std::string& service, const std::string& data_centre = "dc-1", uint64_t row = 1)
{
    ServerEntry e;
    e.m_Id         = id;
    e.m_Service    = service;
    e.m_DataCentre = data_centre;
    e.m_Slots      = 4;
    e.m_Weights    = service == "model" ? 1 : 0;
    e.m_RowVersion = row;
    return e;
}

} // namespace aldervale
