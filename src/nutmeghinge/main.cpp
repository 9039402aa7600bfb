#include <iostream>

int main()
{
    std::cout << "nutmeghinge " NUTMEGHINGE_VERSION "\n";
    return 0;
}
