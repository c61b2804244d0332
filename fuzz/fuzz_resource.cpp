// libFuzzer target: a resource's JSON through parsing, indexing and validation; what is accepted survives its own JSON form.
#include "process/resources.h"
#include <cstdlib>

using namespace aldervale;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    json::error_code  ec;
    const json::value v = json::parse(std::string_view(reinterpret_cast<const char*>(data), size), ec);
    if (ec)
        return 0;
    auto r = ResourceFromJson(v);
    if (!r)
        return 0;
    if (!ResourceFromJson(json::parse(json::serialize(ToJson(r.value()))))) // as rows and deltas carry it
        std::abort();
    r.value().m_Revision = 1;
    const ConfigPtr c    = ApplyDelta(ConfigSnapshot{}, {0, 1, {r.value()}});
    ValidateConfig(*c);
    return 0;
}
