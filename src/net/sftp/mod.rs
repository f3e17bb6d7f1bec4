//! The second front: file commands as SFTP version 3 has them (draft-ietf-secsh-filexfer-02), without SSH below.

pub mod back;
pub mod front;
pub mod packet;
