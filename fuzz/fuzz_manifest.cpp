// libFuzzer target: manifest text; whatever is accepted must tile its shards.
#include "version/manifest.h"
#include <cstdlib>

using namespace aldervale;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const auto m = ParseManifest(std::string_view(reinterpret_cast<const char*>(data), size), "");
    if (!m)
        return 0;
    uint64_t covered = 0;
    for (uint32_t c = 0; c < m.value()->m_ChunkCount; c++)
        covered += LocateChunk(*m.value(), c).m_Length;
    if (covered != m.value()->m_Size)
        std::abort();
    return 0;
}
