//! Backend servers: slots, connections, health, choice and drain.
