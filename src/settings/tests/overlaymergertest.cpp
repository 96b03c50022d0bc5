#include "settings/overlaymerger.h"
#include "settings/jsonfile.h"
#include "settings/types/overlay.h"

#include <criterion/parameterized.h>

using namespace radishladder;
using namespace radishladder::settings;

namespace {
const char *const kBase = R"({
    "dataCentres": [{"name": "obuda"}, {"name": "ujpest"}],
    "services": [{"name": "portal", "upstreams": [
        {"name": "o1", "dataCentre": "obuda", "weight": 100},
        {"name": "u1", "dataCentre": "ujpest"}]}]})";

Json::Value parse(const std::string &text)
{
    Reason reason;
    const auto json = parseJson(text, "test", reason);
    cr_assert(json.has_value(), "%s", reason.detail.c_str());
    return *json;
}
}

struct MismatchCase
{
    char overlay[160];
    ResultCode code;
    char detail[120];
};

ParameterizedTestParameters(overlay, errors_name_file_and_path)
{
    static MismatchCase cases[] = {
        {R"({"freeze": true})", ResultCode::FieldMissing,
         "o.json: /site is missing, empty or not a string"},
        {R"({"site": "buda"})", ResultCode::UnknownDataCentre,
         "o.json: /site buda is not a data centre of the base file"},
        {R"({"site": "obuda", "generation": 9})", ResultCode::OverlayMismatch,
         "o.json: /generation must not be set by an overlay"},
        {R"({"site": "obuda", "freeze": false})", ResultCode::OverlayMismatch,
         "o.json: /freeze must be true or absent in an overlay"},
        {R"({"site": "obuda", "dataCentres": [{"name": "ujpest", "out": true}]})",
         ResultCode::OverlayMismatch,
         "o.json: /dataCentres/ujpest is not the overlay's site obuda"},
        {R"({"site": "obuda", "dataCentres": [{"name": "obuda", "remove": true}]})",
         ResultCode::OverlayMismatch,
         "o.json: /dataCentres/obuda/remove is allowed for upstreams only"},
        {R"({"site": "obuda", "dataCentres": 7})", ResultCode::OverlayMismatch,
         "o.json: /dataCentres is not an array"},
        {R"({"site": "obuda", "services": [{"name": "other"}]})", ResultCode::OverlayMismatch,
         "o.json: /services/other is not a service of the base file"},
        {R"({"site": "obuda", "services": [{"name": "portal", "port": 1}]})",
         ResultCode::OverlayMismatch,
         "o.json: /services/portal/port must not be set by an overlay"},
        {R"({"site": "obuda", "services": [{"name": "portal", "upstreams": [{"name": "u1", "drain": true}]}]})",
         ResultCode::OverlayMismatch,
         "o.json: /services/portal/upstreams/u1 is not an upstream of the site obuda"},
        {R"({"site": "obuda", "services": [{"name": "portal", "upstreams": [{"name": "o1", "dataCentre": "ujpest"}]}]})",
         ResultCode::OverlayMismatch,
         "o.json: /services/portal/upstreams/o1/dataCentre must be the overlay's site obuda"},
        {R"({"site": "obuda", "services": [{"name": "portal", "upstreams": [{"name": "o9"}]}]})",
         ResultCode::OverlayMismatch,
         "o.json: /services/portal/upstreams/o9/dataCentre must be the overlay's site obuda"},
        {R"({"site": "obuda", "services": [{"name": "portal", "upstreams": [{"name": "o9", "remove": true}]}]})",
         ResultCode::OverlayMismatch,
         "o.json: /services/portal/upstreams/o9/remove names an upstream that does not exist"},
    };
    return cr_make_param_array(MismatchCase, cases, sizeof(cases) / sizeof(MismatchCase));
}

ParameterizedTest(MismatchCase *row, overlay, errors_name_file_and_path)
{
    OverlayMerger merger;
    cr_assert(!merger.merge(parse(kBase), {{"o.json", parse(row->overlay)}}).has_value());
    cr_assert(merger.lastReason().code == row->code, "%s", merger.lastReason().detail.c_str());
    cr_assert_str_eq(merger.lastReason().detail.c_str(), row->detail);
}

struct MergeCase
{
    char overlay[160];
    char path[24];
    char merged[160];
};

ParameterizedTestParameters(overlay, merges_by_key_and_name)
{
    static MergeCase cases[] = {
        {R"({"site": "obuda", "freeze": true})", "freeze", "true"},
        {R"({"site": "obuda", "dataCentres": [{"name": "obuda", "out": true}]})", "dataCentres",
         R"([{"name":"obuda","out":true},{"name":"ujpest"}])"},
        {R"({"site": "obuda", "services": [{"name": "portal", "upstreams": [{"name": "o1", "weight": 7}]}]})",
         "upstreams",
         R"([{"dataCentre":"obuda","name":"o1","weight":7},{"dataCentre":"ujpest","name":"u1"}])"},
        {R"({"site": "ujpest", "services": [{"name": "portal", "upstreams": [{"name": "u1", "remove": true}]}]})",
         "upstreams", R"([{"dataCentre":"obuda","name":"o1","weight":100}])"},
        {R"({"site": "ujpest", "services": [{"name": "portal", "upstreams": [{"name": "u2", "dataCentre": "ujpest"}]}]})",
         "upstreams",
         R"([{"dataCentre":"obuda","name":"o1","weight":100},{"dataCentre":"ujpest","name":"u1"},{"dataCentre":"ujpest","name":"u2"}])"},
    };
    return cr_make_param_array(MergeCase, cases, sizeof(cases) / sizeof(MergeCase));
}

ParameterizedTest(MergeCase *row, overlay, merges_by_key_and_name)
{
    OverlayMerger merger;
    const auto merged = merger.merge(parse(kBase), {{"o.json", parse(row->overlay)}});
    cr_assert(merged.has_value(), "%s", merger.lastReason().detail.c_str());
    const bool isUpstreams = std::string(row->path) == "upstreams";
    const std::string text =
        jsonText(isUpstreams ? (*merged)["services"][0]["upstreams"] : (*merged)[row->path]);
    cr_assert_str_eq(text.c_str(), row->merged);
}

Test(overlay, second_overlay_of_a_site_is_rejected)
{
    OverlayMerger merger;
    const Json::Value overlay = parse(R"({"site": "obuda"})");
    cr_assert(!merger.merge(parse(kBase), {{"a.json", overlay}, {"b.json", overlay}}).has_value());
    cr_assert(merger.lastReason().code == ResultCode::DuplicateName);
}
