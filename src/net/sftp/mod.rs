//! The SFTP front: the file commands of SFTP version 3 (draft-ietf-secsh-filexfer-02), without SSH.

pub mod back;
pub mod front;
pub mod packet;
