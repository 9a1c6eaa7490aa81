"""Starts the program of the platform from the copy that the build made."""

from godwitloft.platform import main

if __name__ == "__main__":
    main.main()
