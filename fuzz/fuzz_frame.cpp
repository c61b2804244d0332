// libFuzzer target: any byte stream through the frame decoder, and every string and vector of a frame that it lets through is read.
#include "connection/frame.h"

using namespace aldervale;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    FrameDecoder dec;
    FrameBuf     f;
    dec.Feed(std::span(data, size));
    while (dec.Next(f) == FrameStatus_Ok)
    {
        const auto copy = std::unique_ptr<wire::FrameT>(f.Get()->UnPack());
        (void)copy;
    }
    return 0;
}
