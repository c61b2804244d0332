// libFuzzer target: entries of the users' list of servers, and the store's answers that hold them. Anybody may have written them.
#include "platform/declarations_decode.h"
#include "platform/store_client.h"

using namespace aldervale;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    Row                    row;
    row.m_Key        = "i";
    row.m_Value      = std::string(text);
    row.m_Version    = 1;
    const auto entry = platform::DecodeServer(row);
    if (entry && (entry.value().m_Service.empty() || entry.value().m_DataCentre.empty() || entry.value().m_Slots == 0))
        __builtin_trap(); // an entry that is taken names a server
    bool       more = false;
    const auto rows = platform::DecodeRows(text, more);
    if (rows)
        for (const Row& r : rows.value().m_Rows)
            (void)platform::DecodeServer(r);
    return 0;
}
