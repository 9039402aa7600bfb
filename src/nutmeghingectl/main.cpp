#include <iostream>

int main()
{
    std::cout << "nutmeghingectl " NUTMEGHINGE_VERSION "\n";
    return 0;
}
