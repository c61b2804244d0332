// Hash of a server lifetime. See server_life.h.
#include "common/server_life.h"
#include "common/hash.h"

namespace aldervale
{

uint64_t LifeHash(const ServerLife& life)
{
    return Hash64(life.m_Id, static_cast<uint64_t>(life.m_BornMs));
}

} // namespace aldervale
