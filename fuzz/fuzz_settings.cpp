// libFuzzer target: settings text against one setting of each kind.
#include "process/settings.h"

using namespace aldervale;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    int64_t                        n = 1;
    double                         r = 1;
    bool                           b = false;
    std::string                    t;
    std::string                    a;
    std::vector<std::string>       l;
    const std::vector<SettingSpec> specs = {{"n", SettingInt{&n, 0, 9}, ""},
                                            {"t.r", SettingReal{&r, 0, 9}, ""},
                                            {"t.b", SettingBool{&b}, ""},
                                            {"x", SettingText{&t, {"one"}, false}, ""},
                                            {"a", SettingAddress{&a, true, false}, ""},
                                            {"l", SettingList{&l, true}, ""}};
    CheckSettingsText(std::string_view(reinterpret_cast<const char*>(data), size), "fuzz", specs);
    return 0;
}
