//! TLS connections to collectors (RFC 5425). Certificates are verified by a certificate authority or a fingerprint.

use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::{CertificateError, ClientConfig, DigitallySignedStruct, Error, RootCertStore, SignatureScheme};
use std::sync::Arc;

/// SHA-256 fingerprint of a certificate, in the RFC 5425 format `sha-256:4A:...`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Parses a fingerprint, ignoring case. Returns `None` if `text` is malformed or uses another hash.
    pub fn parse(text: &str) -> Option<Fingerprint> {
        let (method, hex) = text.split_once(':')?;
        let mut parts = hex.split(':');
        let mut digest = [0; 32];
        for byte in &mut digest {
            let part = parts.next().filter(|part| part.len() == 2)?;
            *byte = u8::from_str_radix(part, 16).ok().filter(|_| !part.starts_with('+'))?;
        }
        (method.eq_ignore_ascii_case("sha-256") && parts.next().is_none()).then_some(Fingerprint(digest))
    }

    /// Computes the fingerprint of a DER-encoded certificate.
    pub fn of(certificate: &[u8]) -> Fingerprint {
        let mut digest = [0; 32];
        digest.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, certificate).as_ref());
        Fingerprint(digest)
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("sha-256")?;
        self.0.iter().try_for_each(|byte| write!(f, ":{byte:02X}"))
    }
}

/// A certificate chain and its private key, in PEM.
pub type Identity = (Vec<u8>, Vec<u8>);

/// Builds the TLS settings of a client. It accepts a server whose certificate has one of the given `fingerprints` or is
/// signed by the authority `ca`.
///
/// # Errors
///
/// Returns the name of the setting at fault and the reason.
pub fn client(
    ca: Option<&[u8]>,
    fingerprints: Vec<Fingerprint>,
    identity: Option<Identity>,
) -> Result<Arc<ClientConfig>, (&'static str, String)> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let authority = match ca {
        None => None,
        Some(pem) => {
            let mut roots = RootCertStore::empty();
            for certificate in certificates(pem).map_err(|why| ("ca", why))? {
                roots.add(certificate).map_err(|e| ("ca", e.to_string()))?;
            }
            let verifier =
                WebPkiServerVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
            Some(verifier.map_err(|e| ("ca", e.to_string()))?)
        }
    };
    let verifier =
        Arc::new(FingerprintOrAuthorityVerifier { fingerprints, authority, provider: provider.clone() });
    let builder = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| ("transport", e.to_string()))?
        .dangerous()
        .with_custom_certificate_verifier(verifier);
    let config = match identity {
        None => builder.with_no_client_auth(),
        Some((certificate, key)) => {
            let chain = certificates(&certificate).map_err(|why| ("certificate", why))?;
            let key = PrivateKeyDer::from_pem_slice(&key).map_err(|e| ("key", e.to_string()))?;
            builder.with_client_auth_cert(chain, key).map_err(|e| ("certificate", e.to_string()))?
        }
    };
    Ok(Arc::new(config))
}

/// Parses the certificates in a PEM file.
///
/// # Errors
///
/// Fails if the PEM is malformed or holds no certificate.
pub fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|error| error.to_string())?;
    if all.is_empty() { Err("the PEM file holds no certificate".into()) } else { Ok(all) }
}

/// Accepts a certificate with a known fingerprint, or one that the authority verifies, if one is set.
#[derive(Debug)]
struct FingerprintOrAuthorityVerifier {
    fingerprints: Vec<Fingerprint>,
    authority: Option<Arc<WebPkiServerVerifier>>,
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for FingerprintOrAuthorityVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        ocsp: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        if self.fingerprints.contains(&Fingerprint::of(end_entity)) {
            return Ok(ServerCertVerified::assertion());
        }
        match &self.authority {
            Some(authority) => {
                authority.verify_server_cert(end_entity, intermediates, server_name, ocsp, now)
            }
            None => Err(CertificateError::ApplicationVerificationFailure.into()),
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls12_signature(message, cert, dss, &self.provider.signature_verification_algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature(message, cert, dss, &self.provider.signature_verification_algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

#[cfg(test)]
mod tests;
