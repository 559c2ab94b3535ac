#include "testing/Application.h"

#include <QCoreApplication>

namespace coriandergate::testing {

auto ensureApplication() -> void
{
    if (QCoreApplication::instance() != nullptr)
        return;
    static int s_argumentCount = 1;
    static char s_name[] = "coriandergate_tests";
    static char* s_arguments[] = { s_name, nullptr };
    static QCoreApplication s_application(s_argumentCount, s_arguments);
}

} // namespace coriandergate::testing
