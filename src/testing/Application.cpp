#include "testing/Application.h"

#include <QCoreApplication>

namespace coriandergate::testing {

auto ensureApplication() -> void
{
    if (QCoreApplication::instance() != nullptr)
        return;
    static int argumentCount = 1;
    static char name[] = "coriandergate_tests";
    static char* arguments[] = { name, nullptr };
    static QCoreApplication application(argumentCount, arguments);
}

} // namespace coriandergate::testing
