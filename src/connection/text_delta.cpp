// Compression alone and against a base. See text_delta.h.
#include "connection/text_delta.h"
#include <memory>
#include <zstd.h>

namespace aldervale
{

namespace
{

constexpr int kLevel = 3; // 1.1 MB against its predecessor in some 6 ms of a full core

struct FreeContext
{
    void operator()(ZSTD_CCtx* c) const { ZSTD_freeCCtx(c); }
    void operator()(ZSTD_DCtx* c) const { ZSTD_freeDCtx(c); }
};

// Log2 of a window that spans both texts: matches reach back over all of the base.
int WindowLog(size_t bytes)
{
    const ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
    int               log    = bounds.lowerBound;
    while (log < bounds.upperBound && (size_t{1} << log) < bytes)
        log++;
    return log;
}

} // namespace

std::string CompressText(std::string_view text, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> c(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(c.get(), ZSTD_c_compressionLevel, kLevel);
    ZSTD_CCtx_setParameter(c.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty())
    {
        ZSTD_CCtx_setParameter(c.get(), ZSTD_c_windowLog, WindowLog(text.size() + base.size()));
        ZSTD_CCtx_setParameter(c.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(c.get(), base.data(), base.size());
    }
    std::string  out(ZSTD_compressBound(text.size()), '\0');
    const size_t n = ZSTD_compress2(c.get(), out.data(), out.size(), text.data(), text.size());
    out.resize(ZSTD_isError(n) != 0 ? 0 : n); // can't fail: the bound is kept, and memory failures throw or end the process before
    return out;
}

Result<std::string> ExpandText(std::string_view bytes, std::string_view base, size_t length)
{
    if (length > kExpandedMax)
        return MakeError(ErrorCode_Invalid, "text too long");
    const std::unique_ptr<ZSTD_DCtx, FreeContext> d(ZSTD_createDCtx());
    const ZSTD_bounds                             bounds = ZSTD_dParam_getBounds(ZSTD_d_windowLogMax);
    ZSTD_DCtx_setParameter(d.get(), ZSTD_d_windowLogMax, std::min(bounds.upperBound, WindowLog(2 * kExpandedMax)));
    if (!base.empty())
        ZSTD_DCtx_refPrefix(d.get(), base.data(), base.size());
    std::string  out(length, '\0');
    const size_t n = ZSTD_decompressDCtx(d.get(), out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) != 0)
        return MakeError(ErrorCode_Invalid, std::string("can't be expanded: ") + ZSTD_getErrorName(n));
    if (n != length)
        return MakeError(ErrorCode_Invalid, "another length than told");
    return out;
}

} // namespace aldervale
