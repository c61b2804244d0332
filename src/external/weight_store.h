// aldervale: the weight store, the origin of every byte of weights
//
// HTTP: GET /v1/weights/DIGEST/manifest, and GET /v1/weights/DIGEST/SHARD with a Range field. Rate-limited by the platform; answers may
// be slow, cut short or corrupt, so every chunk is checked by its digest by whoever asked for it.

#pragma once
#include "connection/http.h"
#include "version/manifest.h"

namespace aldervale
{

class WeightStore
{
public:
    virtual ~WeightStore()                                                                                                                = default;
    virtual awaitable<Result<std::string>>          ReadManifest(std::string digest, TimePoint deadline)                                  = 0;
    virtual awaitable<Result<std::vector<uint8_t>>> ReadChunk(std::string digest, std::string shard, ChunkLocation p, TimePoint deadline) = 0;
};

std::unique_ptr<WeightStore> MakeHttpWeightStore(Endpoint at);

} // namespace aldervale
